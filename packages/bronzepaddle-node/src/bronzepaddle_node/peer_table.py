"""What this process knows of every other, from their statuses.

Written by the event loop only.  A peer's load is its own last word, plus
what this process has sent it since.
"""

import bisect
import collections.abc
import typing

from bronzepaddle import ids, load_balancing
from bronzepaddle_peers import statuses, stream_client

FRESH_S: typing.Final = 1.1
"""Silence after which a peer is passed over where another is at hand."""

SILENT_S: typing.Final = 1.7
"""Silence after which a peer is not sent new requests."""

FRESH_SHARE: typing.Final = 2.0
SILENT_SHARE: typing.Final = 3.0
"""The same as multiples of the time between the peer's statuses."""

LATE_S: typing.Final = 1.2
"""Time for which a status of an earlier run may still be on its way."""

FORGET_S: typing.Final = 120.0
"""Silence after which a peer is not sent statuses any more."""

AVOID_S: typing.Final = 0.5
"""Time for which a peer is passed over after its stream broke."""


class Peer:
    """One process, this one included."""

    def __init__(self, status: statuses.Status, now: float) -> None:
        self.status = status
        # When it was heard of at all, and when its status came.
        self.heard_at = now
        self.status_at = now
        self.avoid_until = 0.0
        self.logged_alive = True
        # How often a status of the present run did not come.
        self.missed = 0
        self.sent = 0
        self.sent_at_report = 0
        self.outstanding = status.outstanding
        self.service_s = status.service_s

    def learn(self, status: statuses.Status, now: float) -> bool:
        """Take a status in; return whether it is newer."""
        known = self.status
        recent = now - self.status_at < LATE_S
        if status.incarnation == known.incarnation:
            if status.sequence <= known.sequence:
                return False
            self.missed += status.follows > known.sequence
        elif status.started_ms <= known.started_ms and recent:
            # Late word of an earlier run, or its clock was set back.
            return False
        self.status = status
        self.heard_at = self.status_at = now
        self.report(status.outstanding, status.service_s)
        return True

    def report(self, outstanding: int, service_s: float) -> None:
        """Take the peer's word on its load in."""
        self.outstanding = outstanding
        self.service_s = service_s
        self.sent_at_report = self.sent

    def load(self) -> int:
        """Return the requests that run or wait there, as far as known."""
        since = self.sent - self.sent_at_report
        return max(0, self.outstanding + since)

    def token_for(self, key: int) -> ids.Token | None:
        """Return the token under which the peer's server holds a key."""
        held = self.status.held
        at = bisect.bisect_right(held, key, key=lambda one: one.first) - 1
        if at < 0 or held[at].last < key:
            return None
        return held[at].token


class PeerTable:
    """All processes known, by name."""

    def __init__(self, myself: ids.MemberId, zone: ids.ZoneName) -> None:
        self.myself = myself
        self.zone = zone
        self.peers: dict[ids.MemberId, Peer] = {}

    def learn(self, status: statuses.Status, now: float) -> bool:
        """Take a status in; return whether it is news."""
        known = self.peers.get(status.sender)
        if known is None:
            self.peers[status.sender] = Peer(status, now)
            return True
        return known.learn(status, now)

    def alive(self, peer: Peer, now: float) -> bool:
        """Tell whether a peer may be sent requests."""
        if peer.status.sender == self.myself:
            return True
        missing_s = SILENT_SHARE * peer.status.interval_s
        return now - peer.heard_at < max(SILENT_S, missing_s)

    def of_service(
        self, service: ids.ServiceName
    ) -> collections.abc.Iterator[Peer]:
        """Yield the peers beside servers of a service."""
        return (
            peer
            for peer in self.peers.values()
            if peer.status.service == service
        )

    def able(
        self,
        service: ids.ServiceName,
        now: float,
        tried: collections.abc.Container[ids.MemberId] = (),
    ) -> list[Peer]:
        """Return the peers that would take a request of a service."""
        found = [
            peer
            for peer in self.of_service(service)
            if self.alive(peer, now)
            and not peer.status.leaving
            and peer.status.state is statuses.ServerState.READY
            and peer.status.sender not in tried
        ]
        calm = [
            peer
            for peer in found
            if peer.avoid_until <= now
            and (
                now - peer.heard_at
                < max(FRESH_S, FRESH_SHARE * peer.status.interval_s)
                or peer.status.sender == self.myself
            )
        ]
        return calm or found

    def owner(
        self, service: ids.ServiceName, key: int, now: float
    ) -> Peer | None:
        """Return the peer whose server holds a key."""
        best: tuple[ids.Token, Peer] | None = None
        for peer in self.of_service(service):
            token = peer.token_for(key)
            if token is None or not self.alive(peer, now):
                continue
            if best is None or token > best[0]:
                best = (token, peer)
        return None if best is None else best[1]

    def candidate(self, peer: Peer) -> load_balancing.Candidate:
        """Return a peer as the choice of a server sees it."""
        status = peer.status
        return load_balancing.Candidate(
            status.sender,
            status.slots,
            peer.load(),
            peer.service_s,
            status.warmup_left_s > 0,
            status.zone == self.zone,
        )

    def note_reply(
        self, peer: Peer, reply: stream_client.Reply, now: float
    ) -> None:
        """Take the load that came with a reply, or the want of one."""
        peer.sent -= 1
        if reply.reported:
            peer.heard_at = max(peer.heard_at, now)
            peer.report(reply.outstanding, reply.service_s)
        elif peer.status.sender != self.myself:
            peer.avoid_until = now + AVOID_S
