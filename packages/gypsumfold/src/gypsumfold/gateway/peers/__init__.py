"""Gateway to gateway: who takes part, and what they tell each other."""
