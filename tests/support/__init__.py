"""Fakes of external systems, simulated time and simulations for tests."""
