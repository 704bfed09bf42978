"""Bodies of responses that call a function when they end.

A body ends when it has been read completely, when reading it fails, or when it
is closed early because the caller disconnected.  However it ends, the function
is called exactly once, so that it can release what the request held.  It frees
the request's slot at the backend server, which runs one request per slot;
leaves the server's ``crash_isolation.ExclusiveGate``, which lets a request
that may have crashed a server run only alone; and decrements the counts of
requests in flight.

A body can also be recorded while it is read.  The record is kept in an
idempotency window, from which a repeated request with the same idempotency key
gets the same response (see ``idempotency``).  There is one window for each
hash slot, a part of the keys of a service.
"""

import collections.abc
import dataclasses
import threading
import typing

from bronzepaddle import http_messages, idempotency, ids, verdicts

_Callback: typing.TypeAlias = collections.abc.Callable[[], None]


class Once:
    """A callback that runs at most once; thread-safe."""

    def __init__(self, callback: _Callback) -> None:
        self.callback = callback
        self.lock = threading.Lock()
        self.called = False

    def __call__(self) -> None:
        """Run the callback unless it has been run."""
        with self.lock:
            if self.called:
                return
            self.called = True
        self.callback()


class _BodyWithCallback:
    """A body that calls a function when it ends, however it ends."""

    def __init__(
        self, body: collections.abc.Iterator[bytes], on_end: Once
    ) -> None:
        self.body = body
        self.on_end = on_end

    def __iter__(self) -> "_BodyWithCallback":
        return self

    def __next__(self) -> bytes:
        try:
            return next(self.body)
        except BaseException:
            self.on_end()
            raise

    def close(self) -> None:
        """Close the body, then call the function."""
        try:
            close_body(self.body)
        finally:
            self.on_end()


class _RecordedBody:
    """A body that is recorded in an idempotency window while it is read.

    The window keeps a body for repeated requests only if it is complete and
    has at most ``idempotency.BODY_BYTES_KEPT`` bytes.
    """

    def __init__(
        self,
        response: http_messages.Response,
        window: idempotency.Window,
        key: ids.IdempotencyKey,
    ) -> None:
        self.response = response
        self.window = window
        self.key = key
        self.recorded = bytearray()
        self.finish = Once(self._finish)
        self.complete = False

    def __iter__(self) -> "_RecordedBody":
        return self

    def __next__(self) -> bytes:
        try:
            chunk = next(self.response.body)
        except StopIteration:
            self.complete = True
            self.finish()
            raise
        except BaseException:
            self.finish()
            raise
        if len(self.recorded) <= idempotency.BODY_BYTES_KEPT:
            self.recorded += chunk
        return chunk

    def close(self) -> None:
        """Close the body; the window still records that the request ran."""
        try:
            close_body(self.response.body)
        finally:
            self.finish()

    def _finish(self) -> None:
        """Record the result, with the body if it is complete and fits."""
        fits = len(self.recorded) <= idempotency.BODY_BYTES_KEPT
        result = idempotency.Result(
            status=self.response.status,
            headers=self.response.headers,
            body=bytes(self.recorded) if self.complete and fits else None,
            verdict=verdicts.Verdict.RAN,
        )
        self.window.finish(self.key, result)


def close_body(body: collections.abc.Iterator[bytes]) -> None:
    """Close a body if it has a ``close`` method."""
    close = getattr(body, "close", None)
    if close is not None:
        close()


def with_end_callback(
    response: http_messages.Response, on_end: Once
) -> http_messages.Response:
    """Return the response with a function to call when its body ends.

    Only a response to a request that ran at a backend server (verdict ``RAN``)
    has a body to wait for; for any other, the function is called immediately.
    """
    if response.verdict is not verdicts.Verdict.RAN:
        on_end()
        return response
    return dataclasses.replace(
        response, body=_BodyWithCallback(response.body, on_end)
    )


def with_recording(
    response: http_messages.Response,
    window: idempotency.Window,
    key: ids.IdempotencyKey,
) -> http_messages.Response:
    """Return the response, to be recorded in a window when its body ends."""
    return dataclasses.replace(
        response, body=_RecordedBody(response, window, key)
    )
