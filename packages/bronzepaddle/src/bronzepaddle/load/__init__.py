"""Decisions under load, free of input and output.

Each module names the load pattern that it answers:

- ``server_queue``: which requests wait for a backend server, which are
  rejected, and in which order they run,
- ``cold_servers``: how many requests a cold server is sent in a second,
- ``load_balancing``: which server a request without a key is sent to,
- ``key_load``: which keys are hot,
- ``retries``: whether a request is sent again.
"""
