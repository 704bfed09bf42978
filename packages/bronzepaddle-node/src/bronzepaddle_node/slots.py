"""The hash slots that this process owns, and the requests in flight for each.

Every request checks the slot table, each new version of the cell object
updates it, and a planned handover pauses the slots it moves.  Safe to use
from any thread.
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
"""A service and one of its hash slots."""


class SlotTable:
    """The slots of one process, with their idempotency windows."""

    def __init__(self, node_state: state.NodeState) -> None:
        self.state = node_state
        # Guards the tables below; never held while a request waits.
        self.lock = threading.Lock()
        self.owned: dict[ServiceSlot, ids.Token] = {}
        self.paused: set[ServiceSlot] = set()
        self.in_flight_counts: collections.Counter[ServiceSlot] = (
            collections.Counter()
        )
        self.requests: dict[ids.RequestId, ServiceSlot] = {}
        self.windows_by_slot: dict[ServiceSlot, idempotency.Window] = {}
        # Windows that were handed over for slots not owned yet, by move.
        self.received: dict[
            tuple[ServiceSlot, ids.MoveId], idempotency.Window
        ] = {}
        node_state.listeners.append(self.apply_cell)

    def apply_cell(self, cell: cells.Cell) -> None:
        """Update the slots that this process owns from a cell object.

        A newly owned slot starts with the idempotency window that was handed
        over for it, or else with one that rejects every older idempotency
        key.  A slot without a previous owner has no older keys to reject.
        """
        fresh_horizon = idempotency.initial_horizon_ms(
            self.state.clock.wall_ms()
        )
        grants = _grants_of(cell, self.state.name)
        with self.lock:
            for service_slot, grant in grants.items():
                if self.owned.get(service_slot) == grant.token:
                    continue
                received = self.received.pop((service_slot, grant.move), None)
                initial_horizon = (
                    0 if grant.move == ids.FIRST_GRANT else fresh_horizon
                )
                self.windows_by_slot[service_slot] = (
                    received or idempotency.Window(initial_horizon)
                )
            for service_slot in set(self.windows_by_slot) - set(grants):
                del self.windows_by_slot[service_slot]
            self.owned = {
                service_slot: grant.token
                for service_slot, grant in grants.items()
            }

    def pause(self, assignment: cells.Assignment) -> None:
        """Reject new requests for slots, which are being handed over."""
        with self.lock:
            self.paused.update(_assigned_slots(assignment))

    def resume(self, assignment: cells.Assignment) -> None:
        """Accept requests for slots again."""
        with self.lock:
            self.paused.difference_update(_assigned_slots(assignment))

    def in_flight(self, assignment: cells.Assignment) -> int:
        """Return the number of requests in flight for slots."""
        with self.lock:
            return sum(
                self.in_flight_counts[service_slot]
                for service_slot in _assigned_slots(assignment)
            )

    def total_in_flight(self) -> int:
        """Return the number of all requests in flight."""
        with self.lock:
            return len(self.requests)

    def windows(
        self, assignment: cells.Assignment, move: ids.MoveId
    ) -> dict[ids.MemberId, messages.TransferWindowsRequest]:
        """Return the idempotency windows of slots, by new owner."""
        by_owner: dict[ids.MemberId, list[messages.SlotWindow]] = {}
        for service, slots in assignment.items():
            for slot, new_owner in slots.items():
                window = self.windows_by_slot.get((service, slot))
                if window is not None:
                    by_owner.setdefault(new_owner, []).append(
                        window_codec.to_message(service, slot, window)
                    )
        return {
            new_owner: messages.TransferWindowsRequest(
                move, tuple(slot_windows)
            )
            for new_owner, slot_windows in by_owner.items()
        }

    def transfer_windows(
        self, request: messages.TransferWindowsRequest
    ) -> None:
        """Store received windows until this process owns their slots.

        Windows of an earlier handover that was not completed are dropped:
        the owner has run more requests since.
        """
        moved_slots = {
            (slot_window.service, slot_window.slot)
            for slot_window in request.windows
        }
        with self.lock:
            for outdated_key in [
                transfer
                for transfer in self.received
                if transfer[0] in moved_slots
            ]:
                del self.received[outdated_key]
            for slot_window in request.windows:
                service_slot = (slot_window.service, slot_window.slot)
                self.received[(service_slot, request.move)] = (
                    window_codec.from_message(slot_window)
                )

    # Requests.

    def begin_request(
        self, request: http_messages.Request, keyed: bool
    ) -> verdicts.Reason | None:
        """Register a request, or return why it can't be served here."""
        service_slot = slot_of(request)
        with self.lock:
            rejection_reason = (
                self._rejection_reason(service_slot) if keyed else None
            )
            if rejection_reason is None:
                self.in_flight_counts[service_slot] += 1
                self.requests[request.request_id] = service_slot
        return rejection_reason

    def end_request(self, request: http_messages.Request) -> None:
        """Remove a request that has ended."""
        with self.lock:
            service_slot = self.requests.pop(request.request_id)
            self.in_flight_counts[service_slot] -= 1
            if not self.in_flight_counts[service_slot]:
                del self.in_flight_counts[service_slot]

    def may_act(self, service_slot: ServiceSlot) -> bool:
        """Return whether this process may act as the owner of a slot now."""
        with self.lock:
            return self._rejection_reason(service_slot) is None

    def may_continue(self, request: http_messages.Request) -> bool:
        """Return whether a registered request may continue.

        A handover in progress does not stop it: it waits for such requests.
        """
        with self.lock:
            rejection_reason = self._rejection_reason(slot_of(request))
        return rejection_reason in (None, verdicts.Reason.MOVING)

    def _rejection_reason(
        self, service_slot: ServiceSlot
    ) -> verdicts.Reason | None:
        """Return why this process may not act as a slot's owner, or None."""
        if service_slot not in self.owned:
            return verdicts.Reason.NOT_OWNER
        if service_slot in self.paused:
            return verdicts.Reason.MOVING
        if not self.state.has_lease():
            return verdicts.Reason.NO_LEASE
        return None

    def window(
        self, request: http_messages.Request
    ) -> idempotency.Window | None:
        """Return the idempotency window of a request's slot."""
        return self.windows_by_slot.get(slot_of(request))

    def token(self, request: http_messages.Request) -> ids.Token | None:
        """Return the fencing token of a request's slot."""
        return self.owned.get(slot_of(request))

    def keyed_in_flight(self) -> list[ids.RequestId]:
        """Return the requests in flight that depend on slot ownership."""
        with self.lock:
            return [
                request_id
                for request_id, service_slot in self.requests.items()
                if service_slot in self.owned
            ]

    def grants(self) -> commands.Grants:
        """Return the grants to send to the backend server now.

        A slot that is being handed over stays granted until another member
        owns it, so that the requests in flight for it can still complete.
        """
        now = self.state.clock.now()
        until = self.state.lease.valid_until
        remaining_s = until - self.state.times.stop_margin_s - now
        with self.lock:
            slots = tuple(
                commands.SlotGrant(slot, token)
                for (_, slot), token in self.owned.items()
            )
        return commands.Grants(self.state.name, max(0.0, remaining_s), slots)


def slot_of(request: http_messages.Request) -> ServiceSlot:
    """Return the slot of a request's key."""
    return (request.service, request.slot)


def _grants_of(
    cell: cells.Cell, member: ids.MemberId
) -> dict[ServiceSlot, cells.Grant]:
    """Return the grants of one member by service and slot."""
    return {
        (service, ids.SlotId(slot)): grant
        for service, grants in cell.services.items()
        for slot, grant in enumerate(grants)
        if grant is not None and grant.owner == member
    }


def _assigned_slots(
    assignment: cells.Assignment,
) -> collections.abc.Iterator[ServiceSlot]:
    for service, slots in assignment.items():
        for slot in slots:
            yield (service, slot)
