"""Requests on their way to the backend server beside this process.

- ``server_runs``: one run of the server, with the requests that wait for it.

``bronzepaddle_node.local_backend`` admits and sends them.
"""
