"""Demo, measurements and load experiments."""
