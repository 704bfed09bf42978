"""The table of all processes, with the last status of each.

Only the event loop writes it.  The load of a peer is the one that it last
reported, plus the change since then in the number of requests from this
process that are in flight there.
"""

import bisect
import collections.abc
import typing

from bronzepaddle import ids
from bronzepaddle.load import load_balancing
from bronzepaddle_peers import statuses, stream_client

PREFERRED_WITHIN_S: typing.Final = 1.1
"""Time without a message from a peer after which others are preferred."""

ALIVE_WITHIN_S: typing.Final = 1.7
"""Time without a message from a peer after which it gets no new requests."""

PREFERRED_INTERVALS: typing.Final = 2.0
ALIVE_INTERVALS: typing.Final = 3.0
"""The same two limits as multiples of the peer's status interval; the larger
limit applies."""

MAX_TRANSIT_S: typing.Final = 1.2
"""Time for which a status of an earlier run may still be in transit."""

FORGET_S: typing.Final = 120.0
"""Time without a message from a peer after which it gets no more statuses."""

AVOID_S: typing.Final = 0.5
"""Time for which other peers are preferred after a peer's stream broke."""


class Peer:
    """A process with its last status; this process has an entry too."""

    def __init__(self, status: statuses.Status, now: float) -> None:
        self.status = status
        # When the last message arrived (a status or a reply with a load
        # report), and when the last status did.
        self.heard_at = now
        self.status_received_at = now
        self.avoid_until = 0.0
        self.logged_alive = True
        # Number of statuses received whose predecessor was lost.
        self.missed_statuses = 0
        # Number of requests from this process that are in flight there: now,
        # and at the last load report.
        self.in_flight = 0
        self.in_flight_at_report = 0
        self.outstanding = status.outstanding
        self.service_s = status.service_s
        self.backlog_s = status.backlog_s
        self.starts_per_s = status.starts_per_s

    def update(self, status: statuses.Status, now: float) -> bool:
        """Update from a status; return whether it is newer."""
        current = self.status
        recent = now - self.status_received_at < MAX_TRANSIT_S
        if status.incarnation == current.incarnation:
            if status.sequence <= current.sequence:
                return False
            self.missed_statuses += status.follows > current.sequence
        elif status.started_ms <= current.started_ms and recent:
            # A delayed status of an earlier run, or the peer's clock was set
            # back.
            return False
        self.status = status
        self.heard_at = self.status_received_at = now
        self.record_load(
            status.outstanding,
            status.service_s,
            status.backlog_s,
            status.starts_per_s,
        )
        return True

    def record_load(
        self,
        outstanding: int,
        service_s: float,
        backlog_s: float,
        starts_per_s: float,
    ) -> None:
        """Replace the load by the one that the peer reports."""
        self.outstanding = outstanding
        self.service_s = service_s
        self.backlog_s = backlog_s
        self.starts_per_s = starts_per_s
        self.in_flight_at_report = self.in_flight

    def load(self) -> int:
        """Return the estimated number of requests that run or wait there."""
        change_since_report = self.in_flight - self.in_flight_at_report
        return max(0, self.outstanding + change_since_report)

    def token_for(self, key: int) -> ids.Token | None:
        """Return the token of a key's grant at the peer's server, or None."""
        held = self.status.held
        index = (
            bisect.bisect_right(
                held, key, key=lambda held_range: held_range.first
            )
            - 1
        )
        if index < 0 or held[index].last < key:
            return None
        return held[index].token


def sample_weight(peer: Peer) -> float:
    """Return how often a peer is drawn among many (``load_balancing``)."""
    return load_balancing.sample_weight(
        peer.starts_per_s, peer.status.slots, peer.service_s
    )


class PeerTable:
    """All known processes by name, this one included."""

    def __init__(self, own_name: ids.MemberId, zone: ids.ZoneName) -> None:
        self.own_name = own_name
        self.zone = zone
        self.peers: dict[ids.MemberId, Peer] = {}

    def update(self, status: statuses.Status, now: float) -> bool:
        """Add or update a process; return whether the status is newer."""
        peer = self.peers.get(status.sender)
        if peer is None:
            self.peers[status.sender] = Peer(status, now)
            return True
        return peer.update(status, now)

    def is_alive(self, peer: Peer, now: float) -> bool:
        """Return whether a peer may be sent requests."""
        if peer.status.sender == self.own_name:
            return True
        interval_limit_s = ALIVE_INTERVALS * peer.status.interval_s
        return now - peer.heard_at < max(ALIVE_WITHIN_S, interval_limit_s)

    def alive_count(self, now: float) -> int:
        """Return the number of live processes, this one included."""
        others = sum(
            peer.status.sender != self.own_name and self.is_alive(peer, now)
            for peer in self.peers.values()
        )
        return 1 + others

    def of_service(
        self, service: ids.ServiceName
    ) -> collections.abc.Iterator[Peer]:
        """Yield the processes whose servers belong to a service."""
        return (
            peer
            for peer in self.peers.values()
            if peer.status.service == service
        )

    def staying_members(
        self, service: ids.ServiceName, now: float
    ) -> set[ids.MemberId]:
        """Return the live processes of a service that are not leaving."""
        return {
            peer.status.sender
            for peer in self.of_service(service)
            if self.is_alive(peer, now) and not peer.status.leaving
        }

    def eligible_peers(
        self,
        service: ids.ServiceName,
        now: float,
        tried: collections.abc.Container[ids.MemberId] = (),
    ) -> list[Peer]:
        """Return the peers to which a request of a service may be sent.

        Peers with a recent message and without a broken stream are preferred;
        the others are returned only if there are no such peers.
        """
        usable = [
            peer
            for peer in self.of_service(service)
            if self.is_alive(peer, now)
            and not peer.status.leaving
            and peer.status.state is statuses.ServerState.READY
            and peer.status.sender not in tried
        ]
        preferred = [
            peer
            for peer in usable
            if peer.avoid_until <= now
            and (
                now - peer.heard_at
                < max(
                    PREFERRED_WITHIN_S,
                    PREFERRED_INTERVALS * peer.status.interval_s,
                )
                or peer.status.sender == self.own_name
            )
        ]
        return preferred or usable

    def owner_of(
        self, service: ids.ServiceName, key: int, now: float
    ) -> Peer | None:
        """Return the peer whose server holds a key."""
        best: tuple[ids.Token, Peer] | None = None
        for peer in self.of_service(service):
            token = peer.token_for(key)
            if token is None or not self.is_alive(peer, now):
                continue
            if best is None or token > best[0]:
                best = (token, peer)
        return None if best is None else best[1]

    def candidate(self, peer: Peer) -> load_balancing.Candidate:
        """Return a peer as a candidate for load balancing."""
        status = peer.status
        return load_balancing.Candidate(
            status.sender,
            status.slots,
            peer.load(),
            peer.service_s,
            status.warmup_left_s > 0,
            status.zone == self.zone,
            backlog_s=peer.backlog_s,
            sent_since=peer.in_flight - peer.in_flight_at_report,
            starts_per_s=peer.starts_per_s,
        )

    def record_reply(
        self, peer: Peer, reply: stream_client.Reply, now: float
    ) -> None:
        """Update a peer after a reply to a request that was sent to it.

        A reply without a load report means that the stream broke; other peers
        are then preferred for ``AVOID_S``.
        """
        peer.in_flight -= 1
        if reply.has_load:
            peer.heard_at = max(peer.heard_at, now)
            peer.record_load(
                reply.outstanding,
                reply.service_s,
                reply.backlog_s,
                reply.starts_per_s,
            )
        elif peer.status.sender != self.own_name:
            peer.avoid_until = now + AVOID_S
