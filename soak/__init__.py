"""Randomized fault soak: real instances as processes, faults from outside them."""
