"""Blocking HTTP calls to the platform, made from the event loop.

Both forms of the store use them: they count the calls, bound their time and
tell a call that was certainly not done from one whose answer is lost.
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
_CONNECTIONS: typing.Final = 4

UNABLE: typing.Final = (429, 500, 502, 503, 504)
"""Statuses by which the store says that it can't do a call now."""

_READING: typing.Final = frozenset({"GET"})


class CallBudget:
    """Counts calls over the last minute and says when they are spent."""

    def __init__(self, calls_per_minute: int) -> None:
        self.calls_per_minute = calls_per_minute
        self.calls: collections.deque[float] = collections.deque()
        self.total = 0
        self.lock = threading.Lock()

    def spend(self) -> None:
        """Count one call; raises ``BudgetError`` when none is left."""
        now = time.monotonic()
        with self.lock:
            while self.calls and self.calls[0] < now - _MINUTE_S:
                self.calls.popleft()
            if len(self.calls) >= self.calls_per_minute:
                raise store.BudgetError(
                    f"more than {self.calls_per_minute} calls a minute"
                )
            self.calls.append(now)
            self.total += 1

    def used_last_minute(self) -> int:
        """Return the calls of the last minute."""
        with self.lock:
            return len(self.calls)


class HttpCalls:
    """The calls of one process, with a pool and a budget of their own."""

    def __init__(self, timeout_s: float, budget: CallBudget) -> None:
        self.timeout_s = timeout_s
        self.budget = budget
        self.dependency = logs.Dependency("store")
        # By method and outcome: a status, "lost" or "down".
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.pool = bounded_http.pool_manager(_CONNECTIONS)
        self.threads = concurrent.futures.ThreadPoolExecutor(
            _CALL_THREADS, thread_name_prefix="platform"
        )

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Return the response to one call, whatever its status.

        Raises ``StoreUnavailableError`` or, for a write,
        ``UnknownOutcomeError``.
        """
        self.budget.spend()
        loop = asyncio.get_running_loop()
        try:
            response = await loop.run_in_executor(
                self.threads,
                lambda: self._blocking(
                    method, url, body, headers, timeout_s or self.timeout_s
                ),
            )
        except store.StoreError as error:
            lost = isinstance(error, store.UnknownOutcomeError)
            self.counts[method, "lost" if lost else "down"] += 1
            self.dependency.now(False, f"{method}: {error}")
            raise
        self.counts[method, str(response.status)] += 1
        able = response.status not in UNABLE
        self.dependency.now(able, f"{method}: HTTP {response.status}")
        return response

    def close(self) -> None:
        """Let the connections go."""
        self.threads.shutdown(wait=False, cancel_futures=True)
        self.pool.clear()

    def _blocking(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str] | None,
        timeout_s: float,
    ) -> urllib3.BaseHTTPResponse:
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
            # Read on this thread and kept, within the bounds of a body.
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
            if method not in _READING:
                raise store.UnknownOutcomeError(str(error)) from error
            raise store.StoreUnavailableError(str(error)) from error
