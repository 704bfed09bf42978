"""Communication between router processes.

One process runs on the VM of each backend server.  Processes form either
cells, whose members acknowledge each other's heartbeats and so confirm the
leases on keys, or a fleet without cells, which derives the leases from reads
of the store.

In a fleet without cells, processes broadcast their ``statuses`` in UDP
``datagrams`` and forward requests over long-lived gRPC streams:
``stream_messages`` defines the messages, ``stream_client`` is the sending
side, ``stream_service`` the receiving side, and ``pacing`` keeps large
responses from delaying small ones.

In a cell, processes send heartbeats in ``datagrams`` and make calls over
grpclib: ``messages`` defines the messages, ``rpc`` the interfaces,
``rpc_client`` is the calling side and ``rpc_service`` the called side;
``forwarding`` sends callers' requests to other members.

``codec`` encodes all gRPC messages as MessagePack.
"""
