"""Implementations of the protocols in ``interfaces``: sockets, codecs, clocks."""
