"""State that instances agree on: primaries, configuration, databases, rate limits."""
