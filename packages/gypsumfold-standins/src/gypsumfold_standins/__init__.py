"""Small stand-ins for what gypsumfold meets, for tests, bench and demo."""
