"""Sockets, codecs and clocks behind the protocols of ``interfaces``."""
