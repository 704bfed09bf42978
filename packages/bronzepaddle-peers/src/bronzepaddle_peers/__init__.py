"""Communication between router processes.

In a fleet without cells, processes broadcast their ``statuses`` in UDP
``datagrams`` and forward requests over long-lived gRPC streams:
``exchanges`` defines the messages, ``streams`` is the sending side,
``streamservice`` the receiving side, and ``pacing`` keeps large responses
from delaying small ones.

In a cell, processes send heartbeats in ``datagrams`` and make calls over
grpclib: ``messages`` defines the messages, ``link`` the interfaces,
``client`` is the calling side and ``service`` the called side;
``forwarding`` sends callers' requests to the owner of their slot.

``codec`` encodes all gRPC messages as MessagePack.
"""
