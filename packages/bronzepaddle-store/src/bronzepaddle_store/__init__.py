"""The interface to the platform's object store.

``store`` is the interface, ``http_store`` an adapter for HTTP, ``eras`` tracks
how often the store has come back from a copy, and
``updates`` a conditional write that also resolves writes of unknown outcome.
"""
