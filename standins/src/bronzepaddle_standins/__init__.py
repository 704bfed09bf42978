"""Stand-ins for what the system meets: platform, backend, network."""
