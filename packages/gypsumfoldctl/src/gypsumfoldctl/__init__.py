"""The operators' command line of gypsumfold."""
