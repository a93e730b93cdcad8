"""Decides whether and where requests are sent; uses no network or clock."""
