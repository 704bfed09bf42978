"""Manages the background tasks of a process."""

import asyncio
import collections.abc
import typing

from bronzepaddle import logs


async def log_exceptions(
    work: collections.abc.Coroutine[typing.Any, typing.Any, None], name: str
) -> None:
    """Run one step of an endless task; log an exception instead of raising.

    An exception must not end the task.  The member would continue to send
    heartbeats, so no other member would take its duties over.  After the
    exception is logged, the next step of the task tries again.
    """
    try:
        await work
    except Exception as error:
        logs.task_failed(name, error)


class Tasks:
    """A set of background tasks that can be cancelled together.

    It keeps a reference to each task, without which a running task could be
    garbage-collected, and logs the exception of each task that fails.
    """

    def __init__(self) -> None:
        self.running: set[asyncio.Task[None]] = set()

    def start(
        self,
        work: collections.abc.Coroutine[typing.Any, typing.Any, None],
        name: str,
    ) -> asyncio.Task[None]:
        """Start a coroutine as a task that ``stop`` cancels; return the task.

        ``name`` is the name of the task in the log.
        """
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        """Log the exception of a finished task, if any."""
        self.running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logs.task_failed(task.get_name(), error)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        running_tasks = list(self.running)
        for task in running_tasks:
            task.cancel()
        await asyncio.gather(*running_tasks, return_exceptions=True)
