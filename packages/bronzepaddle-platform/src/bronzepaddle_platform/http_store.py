"""The platform's object API over HTTP.

The wire form is the one that the stand-in of this repository speaks:
``GET /objects/NAME`` answers the body with its version as ``ETag``; ``PUT``
takes ``If-Match`` (or ``If-None-Match: *`` for a new object); ``GET`` with
``newer-than`` waits.  Another platform needs another adapter, nothing else.
"""

import asyncio
import collections
import concurrent.futures
import threading
import time
import typing
import urllib.parse

import urllib3
from bronzepaddle import ids

from bronzepaddle_platform import store

_MINUTE_S: typing.Final = 60.0
_CALL_THREADS: typing.Final = 6
_CONNECTIONS: typing.Final = 4


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


class HttpStore:
    """Adapter with a connection pool and a call budget of its own."""

    def __init__(self, url: str, timeout_s: float, budget: CallBudget) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.budget = budget
        self.pool = urllib3.PoolManager(maxsize=_CONNECTIONS, retries=False)
        self.threads = concurrent.futures.ThreadPoolExecutor(
            _CALL_THREADS, thread_name_prefix="platform"
        )

    async def get(self, name: str) -> store.StoredObject | None:
        """Return the newest version of an object, or None."""
        response = await self._call("GET", self._object_url(name))
        return _stored(response)

    async def put(
        self, name: str, body: bytes, replaces: ids.ObjectVersion
    ) -> ids.ObjectVersion:
        """Write an object if its version is still ``replaces``."""
        if len(body) > store.MOST_BYTES:
            raise store.StoreDownError(f"{name}: {len(body)} bytes, too large")
        headers = (
            {"If-None-Match": "*"}
            if replaces == ids.NO_VERSION
            else {"If-Match": f'"{replaces}"'}
        )
        response = await self._call(
            "PUT", self._object_url(name), body=body, headers=headers
        )
        if response.status == 412:
            raise store.ConflictError(f"{name}: version {replaces} is old")
        if response.status >= 500:
            # The platform may have failed after the write took effect.
            raise store.LostAnswerError(f"{name}: HTTP {response.status}")
        if response.status not in (200, 201):
            raise store.StoreDownError(f"{name}: HTTP {response.status}")
        return _version(response)

    async def watch(
        self, name: str, newer_than: ids.ObjectVersion, timeout_s: float
    ) -> store.StoredObject | None:
        """Wait for a newer version; None when the time is over."""
        query = urllib.parse.urlencode(
            {"newer-than": newer_than, "timeout-s": timeout_s}
        )
        response = await self._call(
            "GET",
            f"{self._object_url(name)}?{query}",
            timeout_s=timeout_s + self.timeout_s,
        )
        return None if response.status == 304 else _stored(response)

    def close(self) -> None:
        """Let the connections go."""
        self.threads.shutdown(wait=False, cancel_futures=True)
        self.pool.clear()

    def _object_url(self, name: str) -> str:
        return f"{self.url}/objects/{urllib.parse.quote(name)}"

    async def _call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        self.budget.spend()
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self.threads,
            lambda: self._blocking(
                method, url, body, headers, timeout_s or self.timeout_s
            ),
        )

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
            return self.pool.request(
                method, url, body=body, headers=headers, timeout=timeout
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise store.StoreDownError(str(error)) from error
        except urllib3.exceptions.HTTPError as error:
            if method == "PUT":
                raise store.LostAnswerError(str(error)) from error
            raise store.StoreDownError(str(error)) from error


def _stored(response: urllib3.BaseHTTPResponse) -> store.StoredObject | None:
    if response.status == 404:
        return None
    if response.status != 200:
        raise store.StoreDownError(f"HTTP {response.status}")
    return store.StoredObject(_version(response), response.data)


def _version(response: urllib3.BaseHTTPResponse) -> ids.ObjectVersion:
    tag = response.headers.get("ETag", "").strip('"')
    if not tag.isdecimal():
        raise store.StoreDownError(f"no version in ETag {tag!r}")
    return ids.ObjectVersion(int(tag))
