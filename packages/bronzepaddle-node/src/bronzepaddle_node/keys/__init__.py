"""Ownership of keys in one member of a service.

- ``ownership_view``: what this member knows of the ownership object, and the
  lease under which it may act on that,
- ``server_grants``: the grants to its backend server, until they end,
- ``member_settings``: the settings of both.

``bronzepaddle_node.reconciler`` runs them.
"""
