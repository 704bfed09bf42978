"""Stand-ins for what surrounds the router: platform, backend, network."""
