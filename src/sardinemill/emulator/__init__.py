"""Stand-ins for the platform and the databases, and load generation."""
