"""The platform's object API, as the rest of the system sees it.

``store`` is the interface, ``http_store`` the adapter that speaks HTTP, and
``updates`` the conditional write that also resolves lost answers.
"""
