"""Filters of the pipeline.

A filter holds state but does no I/O: it takes a message and the current time, and
returns the messages to emit.

Times are monotonic seconds of this process unless a comment states otherwise. Comments
call them local times where the clock of another instance is involved as well.
"""
