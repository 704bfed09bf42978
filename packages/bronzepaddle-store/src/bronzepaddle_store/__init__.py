"""The interface to the platform's object store.

``store`` is the interface, ``http_store`` an adapter for HTTP, and
``updates`` a conditional write that also resolves writes of unknown outcome.
"""
