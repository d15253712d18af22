"""Randomized fault-injection test of real instance processes, with external faults."""
