"""Filters of the pipeline.

A filter holds state but does no I/O: it takes a message and the current time, and
returns the messages to emit.
"""
