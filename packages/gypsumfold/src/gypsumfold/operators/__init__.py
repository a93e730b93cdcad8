"""The statement language, operators' HTTP and the burn report."""
