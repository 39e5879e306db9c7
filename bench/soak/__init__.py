"""A randomized fault soak with the real host program as processes."""
