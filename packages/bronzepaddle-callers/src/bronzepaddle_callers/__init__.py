"""The HTTP server that accepts the requests of callers.

``server`` runs CherryPy applications.  ``streaming_app`` and ``buffered_app``
are the applications for callers: the first streams the bodies of requests and
responses, the second reads a request completely before it is processed.
"""
