"""Adapter to the platform of the first users: names, formats and calls."""
