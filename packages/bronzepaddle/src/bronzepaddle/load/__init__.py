"""Decisions under load, free of input and output.

Each module names the load pattern that it answers:

- ``server_queue``: which requests wait for a backend server, which are
  rejected, and in which order they run,
- ``load_balancing``: which server a request without a key is sent to,
- ``body_budget``: which bodies are read into memory,
- ``slow_callers``: which callers lose their connections,
- ``key_load``: which keys are hot,
- ``retries``: whether a request is sent again.
"""
