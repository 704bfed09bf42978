"""Between the processes of the system.

``datagrams`` carries heartbeats over UDP, ``rpc_service`` and ``rpc_client``
the rarer calls over grpclib, ``forwarding`` callers' requests to the owner.
``messages`` are their types, encoded by ``codec``.
"""
