"""Serves a CherryPy application on a port, without CherryPy's global engine.

One process runs several HTTP servers, for instance one for callers and one for
its backend server.  Each of them is a separate application on a separate
cheroot server.
"""

import concurrent.futures
import contextlib
import dataclasses
import math
import queue
import select
import socket
import threading
import time
import typing

import cheroot.server
import cheroot.wsgi
import cherrypy
from bronzepaddle import options, unsent_data
from bronzepaddle.load import (
    arrival_order,
    connection_limit,
    slow_callers,
)

from bronzepaddle_callers import (
    buffered_app,
    caller_writer,
    chunked_body,
    closing,
    deliveries,
    guarded_socket,
    request_body,
    streaming_app,
    unparsed_request,
)

LISTEN_BACKLOG: typing.Final = 512

EVICTION_TRIES: typing.Final = 16
"""Idle connections that are looked at for one that can be closed."""

REFUSAL: typing.Final = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
"""Response to the requests of a connection for which there is no place."""

RECEIVE_BUFFER_BYTES: typing.Final = 32 * 1024
"""Bytes that the kernel keeps of what a caller has sent.

While a thread reads a body, it is ``guarded_socket.BODY_BUFFER_BYTES``.
"""

MAX_HEADER_BYTES: typing.Final = 256 * 1024
"""Largest limit on a header section; each thread may hold one."""

MAX_SKIPPED_BYTES: typing.Final = 64 * 1024
"""Longest rest of a request's body that is read to keep its connection."""

STOP_SLACK_S: typing.Final = 0.5
"""Time beyond the drain time after which ``stop`` returns in any case."""

_CONFIG: typing.Final = {
    "/": {
        # CherryPy must not parse or buffer bodies; the handlers read them.
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
    """Limits of an HTTP server; times in seconds.

    ``threads`` is the number of worker threads.  ``idle_timeout_s`` limits how
    long a connection may be idle, ``drain_s`` how long a stop waits for
    running requests.  At most ``max_connections`` are open at a time.
    """

    threads: int
    max_header_bytes: int
    idle_timeout_s: float
    drain_s: float
    max_connections: int = connection_limit.DEFAULT_MAX_CONNECTIONS


class _Gateway(cheroot.wsgi.Gateway_10):
    """Adds the caller's socket to the WSGI environment.

    While the server is closing, it also closes each connection after the
    next response.
    """

    def get_environ(self) -> typing.Any:
        """Return the WSGI environment of a request, with its socket."""
        if self.req.chunked_read:
            self.req.rfile = chunked_body.ChunkedBody(self.req.conn.rfile)
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[buffered_app.SOCKET_KEY] = self.req.conn.socket
        environ[buffered_app.WRITER_KEY] = self.req.conn.wfile
        if self.req.server.closing:
            self.req.close_connection = True
        return environ

    def respond(self) -> None:
        """Serve the request; deliver what its caller doesn't take at once."""
        response = self.req.server.wsgi_app(self.env, self.start_response)
        connection = self.req.conn
        try:
            self._write_response(response, connection.wfile)
        finally:
            # An application that fails has sent none either.
            self.req.ensure_headers_sent()
            if hasattr(response, "close"):
                response.close()
        if connection.wfile.backlog:
            connection.defer(keep_open=not self.req.close_connection)
            self.req.close_connection = True
        else:
            connection.wfile.clear()

    def _write_response(
        self, response: typing.Any, wfile: caller_writer.CallerWriter
    ) -> None:
        """Write a response, or leave the rest of a body in memory.

        Waits for the caller if the body isn't in memory yet.
        """
        for chunk in filter(None, response):
            wfile.wait_for_caller()
            self.write(chunk)
            if wfile.backlog and wfile.add_rest():
                return


class _Request(cheroot.server.HTTPRequest):
    """A request that is counted until its response is written."""

    def respond(self) -> None:
        """Serve the request: read its body, run it, write the response."""
        self.conn.has_served = True
        length = self.inheaders.get(b"Content-Length", b"0")
        if self.chunked_read or int(length) > RECEIVE_BUFFER_BYTES // 2:
            self.conn.enlarge_buffer()
        with self.server.requests_in_progress:
            super().respond()

    def send_headers(self) -> None:
        """Write the head of the response.

        What is left of the request's body must not be taken for another
        request.  cheroot reads up to ``MAX_SKIPPED_BYTES`` of it; otherwise
        the connection is closed.
        """
        if self._says_close() or self._has_long_rest():
            self.close_connection = True
        super().send_headers()

    def _has_long_rest(self) -> bool:
        """Return whether too much of the request's body hasn't been read.

        Some of a long rest is discarded, so that the caller sees the response.
        """
        if self.chunked_read:
            return not self.rfile.closed
        rest_bytes: int = getattr(self.rfile, "remaining", 0)
        if rest_bytes <= MAX_SKIPPED_BYTES:
            return False
        if not self.close_connection:
            request_body.discard(self.rfile, self.conn.socket)
        return True

    def _says_close(self) -> bool:
        """Return whether the response announces that the connection closes."""
        return any(
            name.lower() == b"connection" and value.lower() == b"close"
            for name, value in self.outheaders
        )


class _Connection(cheroot.server.HTTPConnection):
    """A connection whose threads don't wait longer than allowed."""

    RequestHandlerClass = _Request

    def __init__(
        self,
        server: "BackgroundServer",
        accepted: socket.socket,
        makefile: typing.Any,
    ) -> None:
        super().__init__(
            server,
            guarded_socket.guard(accepted, server.waiting_threads),
            makefile,
        )
        self.wfile = caller_writer.CallerWriter(self.socket)
        self.has_served = False
        self.has_whole_request = False
        self.has_large_buffer = False
        self.is_deferred = False
        self.keep_open = False
        server.connection_limit.add(self)

    def enlarge_buffer(self) -> None:
        """Let the kernel receive more at a time: a thread reads a body."""
        self.has_large_buffer = True
        self.socket.set_buffer(guarded_socket.BODY_BUFFER_BYTES)

    def restore_buffer(self) -> None:
        """Undo ``enlarge_buffer``, if necessary."""
        if self.has_large_buffer:
            self.has_large_buffer = False
            self.socket.set_buffer(RECEIVE_BUFFER_BYTES)

    def defer(self, keep_open: bool) -> None:
        """Leave the backlog to be delivered once the thread is done.

        The connection is put back afterwards if ``keep_open`` is set.
        """
        self.is_deferred = True
        self.keep_open = keep_open
        self.socket.waits_to_read = False
        self.server.deliveries.reserve()

    def close(self) -> None:
        """Close the connection once its caller has got the response."""
        if self.is_deferred:
            self.server.deliveries.add(self)
            return
        was_idle = self.server.connection_limit.record_busy(self)
        if was_idle and self.server.ready and self.has_unsent():
            # Its caller has had the time to read.
            self.socket.abort_on_close()
        # Those that are closing have a limit of their own.
        self.server.connection_limit.remove(self)
        if self._can_close(was_idle):
            self.end_closing()
        else:
            self.server.closing_connections.add(self)

    def has_unsent(self) -> bool:
        """Return whether the caller has not got all of a response."""
        return unsent_data.unsent_bytes(self.socket) > 0

    def _can_close(self, was_idle: bool) -> bool:
        """Return whether to close the connection without waiting for it.

        The kernel resets it if its caller still sends, so it is closed at
        once only if the caller has closed its side, or is not in a request.
        """
        if self.socket.aborts_on_close:
            return True
        unsent_bytes = unsent_data.unsent_bytes(self.socket)
        if was_idle and not unsent_bytes:
            return True
        if unsent_bytes > closing.UNSENT_BYTES:
            return False
        return closing.has_ended(self.socket)

    def end_closing(self) -> None:
        """Close the socket."""
        unsent_data.limit_time(self.socket)
        super().close()

    def refuse(self) -> None:
        """Close a new connection: there is no place for it."""
        with contextlib.suppress(OSError):
            socket.socket.send(self.socket, REFUSAL)
        self.close()

    def end_delivery(self, delivered: bool) -> None:
        """Put the connection back or close it."""
        self.is_deferred = False
        self.wfile.clear()
        if delivered and self.keep_open:
            self.server.put_conn(self)
        else:
            self.close()


class _Counter:
    """Counts the threads that are inside of its ``with`` block."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.count = 0

    def __enter__(self) -> None:
        with self.lock:
            self.count += 1

    def __exit__(self, *_error: object) -> None:
        with self.lock:
            self.count -= 1


class _ArrivalQueue(queue.Queue[typing.Any]):
    """The connections that wait for a thread, in the order of their turns."""

    def _init(self, maxsize: int) -> None:
        self.arrivals: arrival_order.ArrivalOrder[typing.Any] = (
            arrival_order.ArrivalOrder()
        )

    def _qsize(self) -> int:
        return len(self.arrivals)

    def _put(self, item: typing.Any) -> None:
        # cheroot also puts its requests to end a thread.
        self.arrivals.add(item, getattr(item, "has_whole_request", False))

    def _get(self) -> typing.Any:
        return self.arrivals.take()


class BackgroundServer(cheroot.wsgi.Server):
    """WSGI server that runs on daemon threads and writes no error log.

    A connection that a caller closes is no error of this process.
    ``closing`` turns off keep-alive.  ``requests_in_progress`` counts the
    requests whose header section has been read and whose response has not
    been written to its end.
    """

    ConnectionClass = _Connection
    closing = False

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.requests_in_progress = _Counter()
        # cheroot's pool has no other way to choose its queue.
        self.requests._queue = _ArrivalQueue()
        self.requests.get = self.requests._queue.get
        self.waiting_threads = slow_callers.WaitingThreads(
            self.requests.min, self.timeout
        )
        self.deliveries = deliveries.Deliveries(self.waiting_threads)
        self.closing_connections = closing.ClosingConnections(
            self.waiting_threads
        )
        self.connection_limit: connection_limit.ConnectionLimit[
            _Connection
        ] = connection_limit.ConnectionLimit(
            connection_limit.DEFAULT_MAX_CONNECTIONS
        )

    def process_conn(self, conn: typing.Any) -> None:
        """Pass a connection to a worker thread once it has a request.

        cheroot passes on new connections at once, and the thread then waits
        for the first request.
        """
        self.connection_limit.record_busy(conn)
        is_new = conn.last_used is None
        if is_new and not self._make_room():
            self.connection_limit.refused += 1
            conn.refuse()
        elif is_new and not _is_readable(conn.socket):
            self.put_conn(conn)
        else:
            conn.socket.transfer.begin_request()
            conn.has_whole_request = arrival_order.is_complete(
                _peek(conn.socket)
            )
            super().process_conn(conn)

    def put_conn(self, conn: typing.Any) -> None:
        """Wait for the next request of a connection."""
        conn.restore_buffer()
        self.connection_limit.record_idle(conn, conn.has_served)
        super().put_conn(conn)

    def _make_room(self) -> bool:
        """Close a connection if there are too many.

        Called by the thread that waits for requests.  Returns False if none
        could be closed.
        """
        if not self.connection_limit.is_exceeded():
            return True
        if self._evict_idle(has_unsent=False) or self._evict_idle(
            has_unsent=True
        ):
            return True
        slowest = self.waiting_threads.take_slowest(time.monotonic())
        if slowest is None:
            return False
        slowest.close()
        return True

    def _evict_idle(self, has_unsent: bool) -> bool:
        """Close an idle connection; return whether there was one.

        ``has_unsent`` tells whether its caller has yet to get a response.
        """
        # cheroot has no public access to its selector.
        selector = typing.cast(typing.Any, self)._connections._selector
        for candidate in self.connection_limit.candidates(EVICTION_TRIES):
            if (
                _is_readable(candidate.socket)
                or candidate.has_unsent() != has_unsent
            ):
                continue
            try:
                selector.unregister(candidate.socket.fileno())
            except KeyError:
                # It is not waiting yet, or no longer.
                continue
            self.connection_limit.evicted += 1
            candidate.close()
            return True
        return False

    def start_threads(self) -> None:
        """Listen and serve in the background.

        Raises ``OSError`` if the port can't be bound.

        The worker threads are started by a daemon thread, so they are daemon
        threads too: one that is blocked can't keep the process alive.
        """
        prepared: concurrent.futures.Future[None] = concurrent.futures.Future()
        threading.Thread(
            target=self._prepare_and_serve,
            args=(prepared,),
            name="http",
            daemon=True,
        ).start()
        prepared.result()

    def _prepare_and_serve(
        self, prepared: "concurrent.futures.Future[None]"
    ) -> None:
        try:
            self.prepare()
        except BaseException as error:
            prepared.set_exception(error)
            return
        # Connections inherit it.  The kernel doubles the value.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES // 2
            )
        prepared.set_result(None)
        self.serve()

    def begin_stop(self) -> threading.Thread:
        """Begin to stop the server; return the thread that stops it."""
        stopper = threading.Thread(target=self.stop, daemon=True)
        stopper.start()
        return stopper

    def stop_threads(self) -> None:
        """Stop the server; return after the time limit in any case.

        Requests that still run then keep their worker threads.
        """
        self.begin_stop().join(self.shutdown_timeout + STOP_SLACK_S)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Discard a message."""


class HttpServer:
    """A CherryPy application with its listening port and worker threads.

    ``parse_queries`` passes the parameters of queries to the handlers.
    """

    def __init__(
        self,
        root: object,
        listen: options.Endpoint,
        limits: Limits,
        parse_queries: bool = False,
    ) -> None:
        application = cherrypy.Application(root, "", _CONFIG)
        if not parse_queries:
            application.request_class = unparsed_request.Request
        application.log.screen = False
        # Each request is logged by the router; don't log it twice.
        application.log.access = _no_access_log
        self.cheroot_server = BackgroundServer(
            (listen.host, listen.port),
            _with_repeated_headers(application),
            numthreads=limits.threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=math.ceil(limits.idle_timeout_s),
            shutdown_timeout=math.ceil(limits.drain_s),
        )
        self.cheroot_server.connection_limit.max_connections = (
            limits.max_connections
        )
        self.cheroot_server.gateway = _Gateway
        self.set_max_header_bytes(limits.max_header_bytes)

    def start(self) -> None:
        """Start to serve; raise ``OSError`` if the port can't be bound."""
        self.cheroot_server.start_threads()

    def waiting_connections(self) -> int:
        """Return the number of connections that wait for a worker thread."""
        count: int = self.cheroot_server.requests.qsize
        return count

    def requests_in_progress(self) -> int:
        """Return the number of requests without a completely sent response.

        Connections that wait for their callers to close count as well.
        """
        return (
            self.cheroot_server.requests_in_progress.count
            + self.cheroot_server.deliveries.count
            + self.cheroot_server.closing_connections.count
        )

    def closed_callers(self) -> int:
        """Return the number of slow callers that were closed."""
        return self.cheroot_server.waiting_threads.closed_callers

    @property
    def connections(
        self,
    ) -> connection_limit.ConnectionLimit[typing.Any]:
        """Return the connections that are open."""
        return self.cheroot_server.connection_limit

    def close_stalled_callers(self) -> None:
        """Close the callers that make no progress: memory is short."""
        waiting_threads = self.cheroot_server.waiting_threads
        for transfer in waiting_threads.stalled(time.monotonic()):
            transfer.close()

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Set the time that a connection may be idle, or a caller behind."""
        self.cheroot_server.timeout = idle_timeout_s
        self.cheroot_server.waiting_threads.max_lag_s = idle_timeout_s

    def set_max_header_bytes(self, max_header_bytes: int) -> None:
        """Set the limit on the size of a request's header section."""
        self.cheroot_server.max_request_header_size = min(
            max_header_bytes, MAX_HEADER_BYTES
        )

    def disable_keep_alive(self) -> None:
        """From now on, close each connection after its next response."""
        self.cheroot_server.closing = True

    @property
    def address(self) -> options.Endpoint:
        """Return the address at which the server listens."""
        host, port = self.cheroot_server.bind_addr
        return options.Endpoint(str(host), int(port))

    def begin_stop(self, drain_s: float) -> threading.Thread:
        """Stop like ``stop``, in the background; return its thread."""
        self.cheroot_server.shutdown_timeout = drain_s
        return self.cheroot_server.begin_stop()

    def stop(self, drain_s: float | None = None) -> None:
        """Stop listening and wait for running requests for a limited time.

        ``drain_s`` overrides the drain time in the limits.  Requests that run
        longer are left running; cheroot's own stop would wait for them
        without a time limit.
        """
        if drain_s is not None:
            self.cheroot_server.shutdown_timeout = drain_s
        self.cheroot_server.stop_threads()


def _with_repeated_headers(application: typing.Any) -> typing.Any:
    """Wrap a WSGI application to add headers that occur more than once.

    They are those that the application has stored in the WSGI environment.
    """

    def wrapper(
        environ: dict[str, typing.Any], start_response: typing.Any
    ) -> object:
        def start_with_repeated(
            status: str, headers: list[typing.Any], exc_info: object = None
        ) -> object:
            repeated = environ.get(streaming_app.REPEATED_HEADERS_KEY, [])
            return start_response(status, [*headers, *repeated], exc_info)

        return application(environ, start_with_repeated)

    return wrapper


def _is_readable(connection: socket.socket) -> bool:
    """Return whether there is something to read, or the connection ended."""
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(0))


def _peek(connection: socket.socket) -> bytes:
    """Return what has been received and not read, without reading it."""
    try:
        return socket.socket.recv(
            connection, 2 * RECEIVE_BUFFER_BYTES, socket.MSG_PEEK
        )
    except OSError:
        return b""


def _no_access_log() -> None:
    """Write no access log."""
