"""Decisions under load, free of input and output.

Each module names the load pattern that it answers:

- ``server_queue``: which requests wait for a backend server, which are
  rejected, and in which order they run,
- ``cold_servers``: how many requests a cold server is sent in a second,
- ``expected_cost``: what a request is likely to cost, and how long a running
  one is likely to go on,
- ``reported_speed``: whether a server's report of its speed is believed,
- ``load_balancing``: which server a request without a key is sent to,
- ``body_budget``: which bodies are read into memory,
- ``response_room``: which requests are refused while memory is short,
- ``arrival_order``: which connection the next free thread serves,
- ``connection_limit``: which connections are kept when there are too many,
- ``slow_callers``: which callers lose their connections,
- ``key_load``: which keys are hot,
- ``retries``: whether a request is sent again.
"""
