"""Statement path: sessions, transactions, admission, placement and connections."""
