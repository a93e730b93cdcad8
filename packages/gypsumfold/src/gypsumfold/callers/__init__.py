"""HTTP for callers: completions, service calls, keys."""
