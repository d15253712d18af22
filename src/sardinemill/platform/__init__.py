"""Adapter to a hosting platform: its wire protocol, formats and HTTP interfaces."""
