"""Measurements with real processes; docs/MEASUREMENTS.md has the figures."""
