"""Adapters to one hosting platform: its wire protocol, formats and HTTP interfaces.

The program ``sardinemill.platform.daemon`` runs a ``SessionInstance`` with them. The
program ``sardinemill.daemon`` runs an ``HttpInstance`` instead, with the HTTP front end
and the client of a versioned object store in ``sardinemill.adapters``.
"""
