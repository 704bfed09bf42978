"""Towards callers: the HTTP server that takes their requests.

``server`` runs CherryPy applications; ``streaming_app`` turns one HTTP request
into a ``StreamingRequest`` and an answer back into HTTP.
"""
