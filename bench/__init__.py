"""Measurements; docs/MEASUREMENTS.md has the command of each figure."""
