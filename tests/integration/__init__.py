"""Integration tests on real processes."""
