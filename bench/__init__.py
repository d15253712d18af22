"""Demonstration, benchmarks and load tests."""
