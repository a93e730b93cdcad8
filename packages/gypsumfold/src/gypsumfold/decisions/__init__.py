"""Whom to serve, wait or refuse and where to send; no network, no clock."""
