"""Leases, fencing tokens and orders to engines."""
