"""Membership and messages among gateways."""
