"""The process that runs on the VM of each backend server.

``main`` starts ``program``, the ``bronzepaddled`` program.  It runs one of two
kinds of process:

- ``node`` is the composition root of a process that is a member of a cell.
  ``cell_router`` routes callers' requests, ``owner`` serves those for keys
  that this process owns, and ``crash_isolation`` runs a request that may have
  crashed the backend server while no other one runs.  ``joining``,
  ``heartbeats``, ``cell_watcher``, ``coordinator`` with ``takeover``,
  ``self_maintenance`` and ``handover`` maintain its membership; they share
  the data in ``state``.
- ``sidecar`` is the composition root of a process whose leases depend on
  reads of the store.  ``router`` routes callers' requests, ``local_backend``
  serves those for the backend server on the same VM, and ``crash_detector``
  rejects requests that have crashed two servers.  ``reconciler`` with
  ``planning`` maintains the ownership of keys, ``status_broadcast`` and
  ``peer_table`` exchange statuses with peers, ``configuration`` follows the
  configuration, and ``graceful_shutdown`` drains the process before it ends.
"""
