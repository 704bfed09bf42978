"""The control port: announcements of the backend server, and operators.

It is a port of its own, so that callers can't reach it.
"""

import collections.abc
import typing

import cherrypy
import msgspec
from bronzepaddle import cells, ids, slot_routing
from bronzepaddle import status as status_of
from bronzepaddle_backend import announcements
from bronzepaddle_callers import streaming_app

from bronzepaddle_node import metrics, state

Announced: typing.TypeAlias = collections.abc.Callable[
    [announcements.Announcement], None
]
Order: typing.TypeAlias = collections.abc.Callable[[], None]


class Control:
    """The CherryPy root of the control port."""

    def __init__(
        self,
        node_state: state.NodeState,
        meters: metrics.Metrics,
        announced: Announced,
        drain: Order,
        undrain: Order,
        calls_used: collections.abc.Callable[[], int],
        in_flight: collections.abc.Callable[[], int],
    ) -> None:
        self.state = node_state
        self.meters = meters
        self.announced = announced
        self.order_drain = drain
        self.order_undrain = undrain
        self.calls_used = calls_used
        self.in_flight = in_flight
        self.bronzepaddle = _Tree(self)

    @streaming_app.exposed
    def metrics(self) -> bytes:
        """Answer the Prometheus page."""
        cherrypy.serving.response.headers["Content-Type"] = metrics.MEDIA_TYPE
        return self.meters.page()

    def status(self) -> status_of.Status:
        """Return what this process knows."""
        known = self.state.view
        now = self.state.time.now()
        found = known.cell if known is not None else None
        return status_of.Status(
            name=self.state.name,
            cell=self.state.identity.cell,
            cell_version=self.state.version,
            bundle_version=self.state.bundle_version,
            joined=self.state.joined,
            leaving=self.state.leaving,
            lease_left_s=max(0.0, self.state.lease.valid_until - now),
            coordinator=found.coordinator if found else ids.MemberId(""),
            term=found.term if found else 0,
            store_calls_last_minute=self.calls_used(),
            in_flight=self.in_flight(),
            listens_at=self.state.identity.listens_at,
            members=self._members(found) if found else {},
        )

    def _members(
        self, view: cells.Cell
    ) -> dict[ids.MemberId, status_of.MemberStatus]:
        return {
            name: status_of.MemberStatus(
                zone=member.zone,
                state=member.state.value,
                service=member.service,
                weight=member.weight,
                slots=sum(map(len, view.owned_by(name).values())),
                heard_ago_s=(
                    0.0
                    if name == self.state.name
                    else self.state.heartbeat_age_s(name)
                ),
            )
            for name, member in view.members.items()
        }

    def explain_key(self, service: str, key: str) -> status_of.KeyExplanation:
        """Return where a key would go."""
        name = ids.ServiceName(service)
        in_force = self.state.bundle
        known = in_force.rules.services.get(name) if in_force else None
        view = self.state.view
        if known is None or not known.keyed or view is None:
            detail = "no such keyed service here"
            return status_of.KeyExplanation(
                name, key, -1, None, None, self.state.version, detail
            )
        slot = slot_routing.slot_of(key, known.slots)
        grant = view.cell.grant(name, slot)
        if grant is None:
            return status_of.KeyExplanation(
                name, key, slot, None, None, view.version, "slot is unowned"
            )
        standing = view.cell.members[grant.owner].state.value
        return status_of.KeyExplanation(
            name,
            key,
            slot,
            grant.owner,
            grant.token,
            view.version,
            f"slot {slot} of {known.slots}; its owner is {standing}",
        )


class _Tree:
    """What stands below ``/bronzepaddle/`` on the control port."""

    def __init__(self, control: Control) -> None:
        self.control = control

    @streaming_app.exposed
    def health(self) -> bytes:
        """Answer 200 once this process is a member with a bundle."""
        node_state = self.control.state
        if not node_state.joined or node_state.bundle is None:
            cherrypy.serving.response.status = 503
            return b"starting\n"
        return b"ok\n"

    @streaming_app.exposed
    def status(self) -> bytes:
        """Answer the status as JSON."""
        return msgspec.json.encode(self.control.status())

    @streaming_app.exposed
    def cell(self) -> bytes:
        """Answer the whole cell object as this process knows it."""
        view = self.control.state.view
        return b"{}" if view is None else cells.encode(view.cell)

    @streaming_app.exposed
    def explain(self, service: str = "", key: str = "") -> bytes:
        """Answer where a key would go."""
        return msgspec.json.encode(self.control.explain_key(service, key))

    @streaming_app.exposed
    def announce(self) -> bytes:
        """Take an announcement of the backend server."""
        body = _body()
        try:
            found = announcements.decode(body)
        except msgspec.MsgspecError as error:
            cherrypy.serving.response.status = 400
            return f"{error}\n".encode()
        self.control.announced(found)
        return b"ok\n"

    @streaming_app.exposed
    def drain(self) -> bytes:
        """Let this process give its keys away and take none."""
        if cherrypy.serving.request.method != "POST":
            raise cherrypy.HTTPError(405)
        self.control.order_drain()
        return b"draining\n"

    @streaming_app.exposed
    def undrain(self) -> bytes:
        """Let this process take keys again."""
        if cherrypy.serving.request.method != "POST":
            raise cherrypy.HTTPError(405)
        self.control.order_undrain()
        return b"active\n"


MOST_BODY_BYTES: typing.Final = 64 * 1024


def _body() -> bytes:
    """Return the body of a control request; it must be small."""
    environ = cherrypy.serving.request.wsgi_environ
    value = environ.get("CONTENT_LENGTH") or "0"
    if not value.isdecimal() or int(value) > MOST_BODY_BYTES:
        raise cherrypy.HTTPError(413)
    body: bytes = environ["wsgi.input"].read(int(value))
    return body
