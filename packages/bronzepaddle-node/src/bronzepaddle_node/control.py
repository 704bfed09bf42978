"""HTTP endpoints for the backend server and for operators.

They are served on the control port, which is separate from the port for
callers, so that callers can't reach them.

The backend server announces itself here: its address, its service and the
number of requests that it processes at once.  Operators are shown what this
process knows:

- the cell object, which the processes of a cell share in the platform's
  object store ("the store").  It contains the members of the cell, and for
  each hash slot of a keyed service a grant: the member that owns the slot,
  with a fencing token that is greater than those of all earlier grants;
- the lease, the time for which this process may still act as an owner;
- the bundle, which is the configuration of services, routes and priorities.
"""

import collections.abc
import typing

import cherrypy
import msgspec
from bronzepaddle import cells, ids, slot_routing
from bronzepaddle import status as status_module
from bronzepaddle_backend import announcements
from bronzepaddle_callers import streaming_app

from bronzepaddle_node import metrics, state

OnAnnouncement: typing.TypeAlias = collections.abc.Callable[
    [announcements.Announcement], None
]
Action: typing.TypeAlias = collections.abc.Callable[[], None]


class Control:
    """CherryPy root of the control port.

    ``on_announcement`` is called with each announcement of the backend server.
    ``drain`` and ``undrain`` start and end the handover of all keys.
    ``store_calls_last_minute`` returns the number of calls to the store within
    the last minute, ``in_flight`` the number of requests that wait for the
    backend server or run there.
    """

    def __init__(
        self,
        node_state: state.NodeState,
        metrics_recorder: metrics.NodeMetrics,
        on_announcement: OnAnnouncement,
        drain: Action,
        undrain: Action,
        store_calls_last_minute: collections.abc.Callable[[], int],
        in_flight: collections.abc.Callable[[], int],
    ) -> None:
        self.state = node_state
        self.metrics_recorder = metrics_recorder
        self.on_announcement = on_announcement
        self.start_drain = drain
        self.end_drain = undrain
        self.store_calls_last_minute = store_calls_last_minute
        self.in_flight = in_flight
        self.bronzepaddle = _Endpoints(self)

    @streaming_app.exposed
    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        cherrypy.serving.response.headers["Content-Type"] = metrics.MEDIA_TYPE
        return self.metrics_recorder.page()

    def status(self) -> status_module.Status:
        """Return the status of this process and its view of the cell."""
        known_cell = self.state.known_cell
        now = self.state.clock.now()
        cell = known_cell.cell if known_cell is not None else None
        return status_module.Status(
            name=self.state.name,
            cell=self.state.identity.cell,
            cell_version=self.state.cell_version,
            bundle_version=self.state.bundle_version,
            joined=self.state.joined,
            leaving=self.state.leaving,
            lease_left_s=max(0.0, self.state.lease.valid_until - now),
            coordinator=cell.coordinator if cell else ids.MemberId(""),
            term=cell.term if cell else 0,
            store_calls_last_minute=self.store_calls_last_minute(),
            in_flight=self.in_flight(),
            listens_at=self.state.identity.listens_at,
            members=self._members(cell) if cell else {},
        )

    def _members(
        self, cell: cells.Cell
    ) -> dict[ids.MemberId, status_module.MemberStatus]:
        """Return the status of each member of a cell by its name."""
        return {
            name: status_module.MemberStatus(
                zone=member.zone,
                state=member.state.value,
                service=member.service,
                weight=member.weight,
                slots=sum(map(len, cell.owned_by(name).values())),
                heard_ago_s=(
                    0.0
                    if name == self.state.name
                    else self.state.heartbeat_age_s(name)
                ),
            )
            for name, member in cell.members.items()
        }

    def explain_key(
        self, service: str, key: str
    ) -> status_module.KeyExplanation:
        """Return the slot and the owner of a key, as known here."""
        name = ids.ServiceName(service)
        active = self.state.bundle
        rules = active.rules.services.get(name) if active else None
        known_cell = self.state.known_cell
        if rules is None or not rules.keyed or known_cell is None:
            detail = (
                "this process knows no keyed service of this name, or no cell "
                "object"
            )
            return status_module.KeyExplanation(
                name, key, -1, None, None, self.state.cell_version, detail
            )
        slot = slot_routing.slot_of(key, rules.slots)
        grant = known_cell.cell.grant(name, slot)
        if grant is None:
            return status_module.KeyExplanation(
                name,
                key,
                slot,
                None,
                None,
                known_cell.version,
                "the slot has no owner",
            )
        owner_state = known_cell.cell.members[grant.owner].state.value
        return status_module.KeyExplanation(
            name,
            key,
            slot,
            grant.owner,
            grant.token,
            known_cell.version,
            f"slot {slot} of {rules.slots}; its owner is {owner_state}",
        )


class _Endpoints:
    """The endpoints below ``/bronzepaddle/`` on the control port."""

    def __init__(self, control: Control) -> None:
        self.control = control

    @streaming_app.exposed
    def health(self) -> bytes:
        """Respond with 200 once this process is a member and has a bundle."""
        node_state = self.control.state
        if not node_state.joined or node_state.bundle is None:
            cherrypy.serving.response.status = 503
            return b"starting\n"
        return b"ok\n"

    @streaming_app.exposed
    def status(self) -> bytes:
        """Return the status of this process as JSON."""
        return msgspec.json.encode(self.control.status())

    @streaming_app.exposed
    def cell(self) -> bytes:
        """Return the whole cell object as known here, as JSON."""
        known_cell = self.control.state.known_cell
        return b"{}" if known_cell is None else cells.encode(known_cell.cell)

    @streaming_app.exposed
    def explain(self, service: str = "", key: str = "") -> bytes:
        """Return the slot and the owner of a key as JSON."""
        return msgspec.json.encode(self.control.explain_key(service, key))

    @streaming_app.exposed
    def announce(self) -> bytes:
        """Receive an announcement of the backend server."""
        body = _read_body()
        try:
            announcement = announcements.decode(body)
        except msgspec.MsgspecError as error:
            cherrypy.serving.response.status = 400
            return f"{error}\n".encode()
        self.control.on_announcement(announcement)
        return b"ok\n"

    @streaming_app.exposed
    def drain(self) -> bytes:
        """Start to hand over all keys of this process; it gets no new ones."""
        if cherrypy.serving.request.method != "POST":
            raise cherrypy.HTTPError(405)
        self.control.start_drain()
        return b"draining\n"

    @streaming_app.exposed
    def undrain(self) -> bytes:
        """End a drain; this process may get keys again."""
        if cherrypy.serving.request.method != "POST":
            raise cherrypy.HTTPError(405)
        self.control.end_drain()
        return b"active\n"


MAX_BODY_BYTES: typing.Final = 64 * 1024


def _read_body() -> bytes:
    """Return the body of a request.

    Raises an ``HTTPError`` with status 413 unless ``Content-Length`` is a
    number of at most ``MAX_BODY_BYTES``.
    """
    environ = cherrypy.serving.request.wsgi_environ
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal() or int(length) > MAX_BODY_BYTES:
        raise cherrypy.HTTPError(413)
    body: bytes = environ["wsgi.input"].read(int(length))
    return body
