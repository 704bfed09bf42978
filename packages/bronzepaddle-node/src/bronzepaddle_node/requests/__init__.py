"""How a process routes the requests of its callers."""
