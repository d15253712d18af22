"""Path of a statement from a client's session to a database and back."""
