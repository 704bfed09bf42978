"""Integration tests with separate processes or whole routers."""
