"""How a process routes the requests of its callers.

- ``relative_costs``: what it learns from replies of what requests cost,
- ``route_explanation``: where a request would be sent now, and why,
- ``explanation_app``: that, asked over HTTP,
- ``disconnects``: callers that leave while they are served.

``bronzepaddle_node.router`` uses them.
"""
