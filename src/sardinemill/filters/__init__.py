"""Decisions of the pipeline: state, message and time in, emissions out."""
