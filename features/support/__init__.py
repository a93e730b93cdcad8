"""What the features share: processes, fleets of them, HTTP."""
