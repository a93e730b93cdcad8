"""A serving system for language models on a fixed fleet."""

__version__ = "0.1.0"
