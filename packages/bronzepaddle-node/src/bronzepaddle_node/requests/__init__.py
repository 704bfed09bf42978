"""Requests on their way through a process.

Towards the servers, for ``bronzepaddle_node.router``:

- ``relative_costs``: what it learns from replies of what requests cost,
- ``route_explanation``: where a request would be sent now, and why,
- ``explanation_app``: that, asked over HTTP,
- ``disconnects``: callers that leave while they are served.

Beside the own server, for ``bronzepaddle_node.local_backend``:

- ``server_runs``: one run of the server, with the requests that wait for it.
"""
