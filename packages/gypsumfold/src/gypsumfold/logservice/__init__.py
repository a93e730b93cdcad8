"""Clients of the platform's log and VM list, and their Protocols."""
