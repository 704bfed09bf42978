"""The process beside each backend server.

``node`` is the composition root and ``main`` the ``bronzepaddled`` binary.
``cell_router`` takes callers' requests, ``owner`` serves those for keys that
this process owns.  The other modules keep the process a member of its cell:
``joining``, ``heartbeats``, ``cell_watcher``, ``coordinator`` with
``takeover``, ``self_maintenance`` and ``handover``, around what ``state``
knows.
"""
