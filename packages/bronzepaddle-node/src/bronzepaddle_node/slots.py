"""The hash slots that this process owns, and what is in flight for each.

Asked by every request, told by each new cell object, and held still by a
planned move.  Safe to use from any thread.
"""

import collections
import collections.abc
import threading
import typing

from bronzepaddle import cells, http_messages, idempotency, ids, verdicts
from bronzepaddle_backend import commands
from bronzepaddle_peers import messages

from bronzepaddle_node import state, window_codec

ServiceSlot: typing.TypeAlias = tuple[ids.ServiceName, ids.SlotId]
"""A hash slot of a service."""


class SlotTable:
    """The slots of one process."""

    def __init__(self, node_state: state.NodeState) -> None:
        self.state = node_state
        # Guards the tables below; never held while a request waits.
        self.lock = threading.Lock()
        self.owned: dict[ServiceSlot, ids.Token] = {}
        self.held: set[ServiceSlot] = set()
        self.flying: collections.Counter[ServiceSlot] = collections.Counter()
        self.requests: dict[ids.RequestId, ServiceSlot] = {}
        self.kept: dict[ServiceSlot, idempotency.Window] = {}
        self.received: dict[
            tuple[ServiceSlot, ids.MoveId], idempotency.Window
        ] = {}
        node_state.listeners.append(self.learn)

    def learn(self, view: cells.Cell) -> None:
        """Take in which slots this process owns now.

        A slot that is new here starts with the window that was handed over
        for it, or with one that refuses every older id; one that nobody
        owned before has no older id.
        """
        fresh = idempotency.fresh_horizon_ms(self.state.time.wall_ms())
        grants = _grants(view, self.state.name)
        with self.lock:
            for place, grant in grants.items():
                if self.owned.get(place) == grant.token:
                    continue
                received = self.received.pop((place, grant.move), None)
                horizon = 0 if grant.move == ids.FIRST_GRANT else fresh
                self.kept[place] = received or idempotency.Window(horizon)
            for place in set(self.kept) - set(grants):
                del self.kept[place]
            self.owned = {
                place: grant.token for place, grant in grants.items()
            }

    def hold(self, given: cells.Assignment) -> None:
        """Take no new request for slots."""
        with self.lock:
            self.held.update(_places(given))

    def resume(self, given: cells.Assignment) -> None:
        """Take requests again."""
        with self.lock:
            self.held.difference_update(_places(given))

    def in_flight(self, given: cells.Assignment) -> int:
        """Return how many requests of slots are in flight."""
        with self.lock:
            return sum(self.flying[place] for place in _places(given))

    def total_in_flight(self) -> int:
        """Return how many requests are in flight."""
        with self.lock:
            return len(self.requests)

    def windows(
        self, given: cells.Assignment, move: ids.MoveId
    ) -> dict[ids.MemberId, messages.WindowRequest]:
        """Return the idempotency windows of slots, by next owner."""
        by_heir: dict[ids.MemberId, list[messages.WindowTransfer]] = {}
        for service, slots in given.items():
            for slot, heir in slots.items():
                window = self.kept.get((service, slot))
                if window is not None:
                    by_heir.setdefault(heir, []).append(
                        window_codec.transfer(service, slot, window)
                    )
        return {
            heir: messages.WindowRequest(move, tuple(transfers))
            for heir, transfers in by_heir.items()
        }

    def transfer_windows(self, request: messages.WindowRequest) -> None:
        """Keep windows until this process owns their slots.

        Windows of an earlier move that came to nothing are dropped: their
        owner has run more since.
        """
        places = {(one.service, one.slot) for one in request.windows}
        with self.lock:
            for stale in [one for one in self.received if one[0] in places]:
                del self.received[stale]
            for one in request.windows:
                place = (one.service, one.slot)
                self.received[(place, request.move)] = window_codec.restored(
                    one
                )

    # Requests.

    def enter(
        self, request: http_messages.Request, keyed: bool
    ) -> verdicts.Reason | None:
        """Count a request in, or return why it may not be served here."""
        place = place_of(request)
        with self.lock:
            why = self._not_mine(place) if keyed else None
            if why is None:
                self.flying[place] += 1
                self.requests[request.request_id] = place
        return why

    def leave(self, request: http_messages.Request) -> None:
        """Count a request out."""
        with self.lock:
            place = self.requests.pop(request.request_id)
            self.flying[place] -= 1
            if not self.flying[place]:
                del self.flying[place]

    def may_act(self, place: ServiceSlot) -> bool:
        """Tell whether this process may act as the owner of a slot now."""
        with self.lock:
            return self._not_mine(place) is None

    def may_go_on(self, request: http_messages.Request) -> bool:
        """Tell whether a request that entered may go on; a move waits."""
        with self.lock:
            why = self._not_mine(place_of(request))
        return why in (None, verdicts.Reason.MOVING)

    def _not_mine(self, place: ServiceSlot) -> verdicts.Reason | None:
        """Return why this process may not act for a slot, or None."""
        if place not in self.owned:
            return verdicts.Reason.NOT_OWNER
        if place in self.held:
            return verdicts.Reason.MOVING
        if not self.state.has_lease():
            return verdicts.Reason.NO_LEASE
        return None

    def window(
        self, request: http_messages.Request
    ) -> idempotency.Window | None:
        """Return the idempotency window of a request's slot."""
        return self.kept.get(place_of(request))

    def token(self, request: http_messages.Request) -> ids.Token | None:
        """Return the fencing token of a request's slot."""
        return self.owned.get(place_of(request))

    def keyed_in_flight(self) -> list[ids.RequestId]:
        """Return the requests in flight that rest on ownership."""
        with self.lock:
            return [
                one
                for one, place in self.requests.items()
                if place in self.owned
            ]

    def grants(self) -> commands.Grants:
        """Return the grants to give the backend server now.

        A slot that is moving stays granted until it is another's: what is
        in flight for it still has to end well.
        """
        now = self.state.time.now()
        until = self.state.lease.valid_until
        remaining = until - self.state.times.stop_margin_s - now
        with self.lock:
            slots = tuple(
                commands.SlotGrant(slot, token)
                for (_, slot), token in self.owned.items()
            )
        return commands.Grants(self.state.name, max(0.0, remaining), slots)


def place_of(request: http_messages.Request) -> ServiceSlot:
    """Return the slot that a request belongs to."""
    return (request.service, request.slot)


def _grants(
    view: cells.Cell, member: ids.MemberId
) -> dict[ServiceSlot, cells.Grant]:
    """Return the grants of one member by service and slot."""
    return {
        (service, ids.SlotId(slot)): grant
        for service, grants in view.services.items()
        for slot, grant in enumerate(grants)
        if grant is not None and grant.owner == member
    }


def _places(given: cells.Assignment) -> collections.abc.Iterator[ServiceSlot]:
    for service, slots in given.items():
        for slot in slots:
            yield (service, slot)
