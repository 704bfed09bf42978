"""Blocking HTTP calls to the platform, run on threads for the event loop.

Both adapters of the store use ``HttpCalls``.  It counts the calls, limits
their number and duration, and distinguishes a call that certainly had no
effect from a write whose response was lost.
"""

import asyncio
import collections
import concurrent.futures
import threading
import time
import typing

import urllib3
from bronzepaddle import bounded_http, logs

from bronzepaddle_store import store

_MINUTE_S: typing.Final = 60.0
_CALL_THREADS: typing.Final = 6

_WATCH_THREADS: typing.Final = 3
"""Number of threads for calls that the store may answer late; a process has
fewer watches."""

LOGGED_WAIT_S: typing.Final = 0.1
"""Time that a call waits for a thread from which it is logged."""

UNAVAILABLE_STATUSES: typing.Final = (429, 500, 502, 503, 504)
"""Response statuses that mean that the store can't serve a call now."""

_SAFE_METHODS: typing.Final = frozenset({"GET"})


class CallBudget:
    """Limits the number of calls in any minute; thread-safe.

    ``total`` counts all calls that were allowed.
    """

    def __init__(self, calls_per_minute: int) -> None:
        self.calls_per_minute = calls_per_minute
        # Times of the calls in the last minute.
        self.call_times: collections.deque[float] = collections.deque()
        self.total = 0
        self.lock = threading.Lock()

    def spend(self) -> None:
        """Count a call; raises ``BudgetError`` if the limit is reached."""
        now = time.monotonic()
        with self.lock:
            while self.call_times and self.call_times[0] < now - _MINUTE_S:
                self.call_times.popleft()
            if len(self.call_times) >= self.calls_per_minute:
                raise store.BudgetError(
                    f"the limit of {self.calls_per_minute} calls per minute "
                    "is reached"
                )
            self.call_times.append(now)
            self.total += 1

    def used_last_minute(self) -> int:
        """Return the number of calls in the minute before the last call."""
        with self.lock:
            return len(self.call_times)


class HttpCalls:
    """Makes the calls of one process, with a pool of connections.

    ``timeout_s`` is the timeout of connecting, and that of an answer beyond
    the time that the store was asked to wait.  ``budget`` limits the number
    of calls per minute.

    Watches have threads of their own, so that calls without an answer keep no
    watch waiting, nor watches any other call.
    """

    def __init__(self, timeout_s: float, budget: CallBudget) -> None:
        self.timeout_s = timeout_s
        self.budget = budget
        self.dependency = logs.Dependency("store")
        # Number of calls by method and outcome: a status, "lost" or "down".
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        # The longest time, in seconds, that a call waited for a thread.
        self.longest_wait_s = 0.0
        self.pool = bounded_http.pool_manager(_CALL_THREADS + _WATCH_THREADS)
        self.call_threads = concurrent.futures.ThreadPoolExecutor(
            _CALL_THREADS, thread_name_prefix="platform"
        )
        self.watch_threads = concurrent.futures.ThreadPoolExecutor(
            _WATCH_THREADS, thread_name_prefix="platform-watch"
        )

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        wait_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Make a call and return its response; no status raises an error.

        ``wait_s`` is the time for which a watch asks the store to wait, None
        for all other calls.  Raises ``BudgetError``, ``StoreUnavailableError``
        or, for a write, ``UnknownOutcomeError``.
        """
        self.budget.spend()
        loop = asyncio.get_running_loop()
        queued_at = time.monotonic()

        def run() -> urllib3.BaseHTTPResponse:
            self._record_wait(f"{method} {url}", time.monotonic() - queued_at)
            return self._request(
                method, url, body, headers, self.timeout_s + (wait_s or 0.0)
            )

        threads = self.call_threads if wait_s is None else self.watch_threads
        try:
            response = await loop.run_in_executor(threads, run)
        except store.StoreError as error:
            lost = isinstance(error, store.UnknownOutcomeError)
            self.counts[method, "lost" if lost else "down"] += 1
            self.dependency.record(False, f"{method}: {error}")
            raise
        self.counts[method, str(response.status)] += 1
        available = response.status not in UNAVAILABLE_STATUSES
        self.dependency.record(available, f"{method}: HTTP {response.status}")
        return response

    def _record_wait(self, what: str, waited_s: float) -> None:
        """Record how long a call waited for a thread; runs on that thread."""
        self.longest_wait_s = max(self.longest_wait_s, waited_s)
        if waited_s >= LOGGED_WAIT_S:
            logs.call_queued(what, waited_s)

    def close(self) -> None:
        """Close the connections and discard the queued calls."""
        for threads in (self.call_threads, self.watch_threads):
            threads.shutdown(wait=False, cancel_futures=True)
        self.pool.clear()

    def _request(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str] | None,
        timeout_s: float,
    ) -> urllib3.BaseHTTPResponse:
        """Make a call on this thread; raises as ``call`` does."""
        timeout = urllib3.Timeout(connect=self.timeout_s, read=timeout_s)
        try:
            response = self.pool.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
            # Read the body on this thread; its size is limited.
            _ = response.data
            return response
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise store.StoreUnavailableError(str(error)) from error
        except (
            urllib3.exceptions.HTTPError,
            bounded_http.ResponseTooLargeError,
        ) as error:
            if method not in _SAFE_METHODS:
                raise store.UnknownOutcomeError(str(error)) from error
            raise store.StoreUnavailableError(str(error)) from error
