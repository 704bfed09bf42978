"""Keeps the newest configuration in force in this process.

It is watched in the store; a process that can't reach the store asks a peer
whose status names a newer version.  The version in force never goes back.
That a watch says nothing does not prove that there is nothing new, so none
is waited for for long.
"""

import collections.abc
import random
import typing

from bronzepaddle import clocks, ids, logs, route_table
from bronzepaddle_peers import rpc_client, statuses, stream_client
from bronzepaddle_store import store

from bronzepaddle_node import tasks

ASKS_PER_S: typing.Final = 2.0
"""Watches that all processes together begin in a second.  A watch may be
silent for good, and all may be at once: what the first new one finds, peers
learn from its process."""

LEAST_WATCH_S: typing.Final = 2.0
MOST_WATCH_S: typing.Final = 20.0
WATCH_SPREAD: typing.Final = (0.5, 1.0)
"""Shares of the time of a watch that are drawn from, lest all end at once."""

RETRY_S: typing.Final = 0.3

Decode: typing.TypeAlias = collections.abc.Callable[[bytes], route_table.Table]
"""Reads a configuration document; raises ``InvalidConfigError``."""

Learn: typing.TypeAlias = collections.abc.Callable[[route_table.Table], None]


class Configuration:
    """The configuration of one process."""

    def __init__(
        self,
        object_name: str,
        objects: store.Store,
        decode: Decode,
        listeners: collections.abc.Sequence[Learn],
        peers: stream_client.Client,
        time: clocks.Clock,
        fleet_size: collections.abc.Callable[[], int],
        rng: random.Random,
    ) -> None:
        self.object_name = object_name
        self.objects = objects
        self.decode = decode
        self.listeners = listeners
        self.peers = peers
        self.time = time
        self.fleet_size = fleet_size
        self.rng = rng
        self.table: route_table.Table | None = None
        self.document = b""
        self.seen = ids.NO_VERSION
        # When the store last answered what is the newest version.
        self.confirmed_at = time.now()
        self.background_tasks = tasks.Tasks()
        self.pulling = False

    @property
    def version(self) -> ids.BundleVersion:
        """Return the version in force, 0 if there is none."""
        if self.table is None:
            return ids.BundleVersion(0)
        return self.table.version

    def adopt(self, document: bytes, source: str) -> None:
        """Put a document in force if it holds and its version is higher."""
        try:
            table = self.decode(document)
        except route_table.InvalidConfigError as error:
            logs.bad_document(self.object_name, str(error))
            return
        if table.version <= self.version:
            return
        self.table = table
        self.document = document
        for learn in self.listeners:
            learn(table)
        logs.in_force(table.version, source)

    async def run(self) -> None:
        """Follow the object in the store for ever."""
        while True:
            try:
                found = await self._next()
            except store.StoreError as error:
                logs.call_failed(self.object_name, repr(error))
                await self.time.sleep(RETRY_S)
                continue
            self.confirmed_at = self.time.now()
            if found is None:
                if self.seen == ids.NO_VERSION:
                    await self.time.sleep(RETRY_S)
                continue
            self.seen = found.version
            self.adopt(found.body, "store")

    async def _next(self) -> store.StoredObject | None:
        if self.seen == ids.NO_VERSION:
            return await self.objects.get(self.object_name)
        return await self.objects.watch(
            self.object_name, self.seen, self._watch_s()
        )

    def _watch_s(self) -> float:
        """Return how long the next watch may wait."""
        longest_s = self.fleet_size() / ASKS_PER_S
        longest_s = min(max(longest_s, LEAST_WATCH_S), MOST_WATCH_S)
        return longest_s * self.rng.uniform(*WATCH_SPREAD)

    def on_status(self, status: statuses.Status) -> None:
        """Fetch what a peer has if its version is newer."""
        if status.table_version <= self.version or self.pulling:
            return
        self.pulling = True
        self.background_tasks.start(self._pull(status), "pull")

    async def _pull(self, status: statuses.Status) -> None:
        try:
            reply = await self.peers.pull_config(
                status.address, statuses.ConfigRequest(self.version)
            )
            if reply.document:
                self.adopt(reply.document, f"peer {status.sender}")
        except rpc_client.CONNECTION_ERRORS as error:
            # The next status that names a newer version asks again.
            logs.call_failed(f"config of {status.sender}", repr(error))
        finally:
            self.pulling = False

    def on_pull(self, request: statuses.ConfigRequest) -> statuses.ConfigReply:
        """Answer a peer's request for a newer document."""
        if self.version <= request.newer_than:
            return statuses.ConfigReply(self.version, b"")
        return statuses.ConfigReply(self.version, self.document)

    async def stop(self) -> None:
        """End what is running."""
        await self.background_tasks.stop()
