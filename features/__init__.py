"""Integration tests: real processes behind a fault-injecting proxy."""
