"""Runs a CherryPy application on a port, without CherryPy's global engine.

Several servers live in one process (callers, control), so each is an
application of its own on a cheroot server of its own.
"""

import concurrent.futures
import dataclasses
import math
import threading
import typing

import cheroot.wsgi
import cherrypy
from bronzepaddle import options

from bronzepaddle_callers import buffered_app, streaming_app

BACKLOG: typing.Final = 512

STOP_SLACK_S: typing.Final = 0.5
"""Time beyond the drain time after which a stop is not waited for."""

_CONFIG: typing.Final = {
    "/": {
        # Bodies are streamed by the handler, never parsed or held.
        "request.process_request_body": False,
        "response.headers.server": "bronzepaddle",
        "tools.trailing_slash.on": False,
        "tools.log_headers.on": False,
        "tools.log_tracebacks.on": False,
        "request.show_tracebacks": False,
        "request.throw_errors": False,
    }
}


@dataclasses.dataclass(frozen=True)
class Limits:
    """What one server takes; times in seconds."""

    threads: int
    max_header_bytes: int
    idle_s: float
    drain_s: float


class _Gateway(cheroot.wsgi.Gateway_10):
    """Lets applications see the caller's socket.

    Once its server is closing, each answer ends its connection.
    """

    def get_environ(self) -> typing.Any:
        """Return the WSGI environment of a request."""
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[buffered_app.SOCKET] = self.req.conn.socket
        if self.req.server.closing:
            self.req.close_connection = True
        return environ


class BackgroundServer(cheroot.wsgi.Server):
    """Writes no log: a caller that hangs up is no error of ours."""

    closing = False

    def start_threads(self) -> None:
        """Listen; raises ``OSError`` when the port is taken.

        Worker threads are started by a daemon thread, which makes them
        daemons too: one that waits for ever can't keep a process alive.
        """
        prepared: concurrent.futures.Future[None] = concurrent.futures.Future()
        threading.Thread(
            target=self._run, args=(prepared,), name="http", daemon=True
        ).start()
        prepared.result()

    def _run(self, prepared: "concurrent.futures.Future[None]") -> None:
        try:
            self.prepare()
        except BaseException as error:
            prepared.set_exception(error)
            return
        prepared.set_result(None)
        self.serve()

    def stop_threads(self) -> None:
        """Stop; return when the time for what still runs is over."""
        stopping = threading.Thread(target=self.stop, daemon=True)
        stopping.start()
        stopping.join(self.shutdown_timeout + STOP_SLACK_S)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Write nothing."""


class HttpServer:
    """One listening port and its worker threads."""

    def __init__(
        self, root: object, listen: options.Endpoint, limits: Limits
    ) -> None:
        application = cherrypy.Application(root, "", _CONFIG)
        application.log.screen = False
        # Each request gets a routing line; a second access log is waste.
        application.log.access = _no_access_log
        self.server = BackgroundServer(
            (listen.host, listen.port),
            _with_repeated_lines(application),
            numthreads=limits.threads,
            request_queue_size=BACKLOG,
            timeout=math.ceil(limits.idle_s),
            shutdown_timeout=math.ceil(limits.drain_s),
        )
        self.server.gateway = _Gateway
        self.server.max_request_header_size = limits.max_header_bytes

    def start(self) -> None:
        """Listen; raises ``OSError`` when the port is taken."""
        self.server.start_threads()

    def unassigned(self) -> int:
        """Return how many connections wait for a worker thread."""
        waiting: int = self.server.requests.qsize
        return waiting

    def disable_keep_alive(self) -> None:
        """Close each connection after its next answer."""
        self.server.closing = True

    @property
    def address(self) -> options.Endpoint:
        """Return where the server listens."""
        host, port = self.server.bind_addr
        return options.Endpoint(str(host), int(port))

    def stop(self, drain_s: float | None = None) -> None:
        """Stop listening and let requests in flight end, for a while.

        The wait is that of the limits unless ``drain_s`` is given; what
        runs longer is left to its thread.  The library's own stop waits
        for such a thread without a bound.
        """
        if drain_s is not None:
            self.server.shutdown_timeout = drain_s
        self.server.stop_threads()


def _with_repeated_lines(application: typing.Any) -> typing.Any:
    """Return the application with repeated header lines let through."""

    def wrapped(environ: dict[str, typing.Any], start: typing.Any) -> object:
        def start_with_lines(
            status: str, headers: list[typing.Any], exc_info: object = None
        ) -> object:
            lines = environ.get(streaming_app.REPEATED_LINES, [])
            return start(status, [*headers, *lines], exc_info)

        return application(environ, start_with_lines)

    return wrapped


def _no_access_log() -> None:
    """Write nothing."""
