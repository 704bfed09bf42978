"""Bodies of answers that give something back when they end.

However a body ends (read to the end, lost, or closed early by a caller that
went away), what was taken for it is given back exactly once.
"""

import collections.abc
import dataclasses
import threading
import typing

from bronzepaddle import http_messages, idempotency, ids, verdicts

_End: typing.TypeAlias = collections.abc.Callable[[], None]


class Once:
    """A function without arguments that is called at most once."""

    def __init__(self, call: _End) -> None:
        self.call = call
        self.lock = threading.Lock()
        self.called = False

    def __call__(self) -> None:
        """Call it, unless it has been called."""
        with self.lock:
            if self.called:
                return
            self.called = True
        self.call()


class _Ending:
    """A body that calls a function when it ends in any way."""

    def __init__(
        self, body: collections.abc.Iterator[bytes], end: Once
    ) -> None:
        self.body = body
        self.end = end

    def __iter__(self) -> "_Ending":
        return self

    def __next__(self) -> bytes:
        try:
            return next(self.body)
        except BaseException:
            self.end()
            raise

    def close(self) -> None:
        """Close the body, then end."""
        try:
            close_body(self.body)
        finally:
            self.end()


class _Keeping:
    """A body whose first bytes are kept for callers that repeat."""

    def __init__(
        self,
        answer: http_messages.Response,
        window: idempotency.Window,
        key: ids.IdempotencyKey,
    ) -> None:
        self.answer = answer
        self.window = window
        self.key = key
        self.kept = bytearray()
        self.finish = Once(self._finish)
        self.whole = False

    def __iter__(self) -> "_Keeping":
        return self

    def __next__(self) -> bytes:
        try:
            chunk = next(self.answer.body)
        except StopIteration:
            self.whole = True
            self.finish()
            raise
        except BaseException:
            self.finish()
            raise
        if len(self.kept) <= idempotency.BODY_BYTES_KEPT:
            self.kept += chunk
        return chunk

    def close(self) -> None:
        """Close the body; the request ran all the same."""
        try:
            close_body(self.answer.body)
        finally:
            self.finish()

    def _finish(self) -> None:
        small = len(self.kept) <= idempotency.BODY_BYTES_KEPT
        result = idempotency.Result(
            status=self.answer.status,
            headers=self.answer.headers,
            body=bytes(self.kept) if self.whole and small else None,
            verdict=verdicts.Verdict.RAN,
        )
        self.window.finish(self.key, result)


def close_body(body: collections.abc.Iterator[bytes]) -> None:
    """Close a body that can be closed."""
    close = getattr(body, "close", None)
    if close is not None:
        close()


def with_end(
    answer: http_messages.Response, end: Once
) -> http_messages.Response:
    """Return the answer with a function to call when its body ends.

    A refusal has no body, so it ends here.
    """
    if answer.verdict is not verdicts.Verdict.RAN:
        end()
        return answer
    return dataclasses.replace(answer, body=_Ending(answer.body, end))


def with_keeping(
    answer: http_messages.Response,
    window: idempotency.Window,
    key: ids.IdempotencyKey,
) -> http_messages.Response:
    """Return the answer with its result kept in a window at the end."""
    return dataclasses.replace(answer, body=_Keeping(answer, window, key))
