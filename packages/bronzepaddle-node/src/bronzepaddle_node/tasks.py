"""The tasks of one process: started in one place, ended in one place."""

import asyncio
import collections.abc
import typing

from bronzepaddle import logs


async def log_exceptions(
    work: collections.abc.Coroutine[typing.Any, typing.Any, None], name: str
) -> None:
    """Run one step of an endless task, which no error may end.

    A member whose task had ended would go on sending heartbeats, so nobody
    would take its part over: the error is logged and the next step tries
    again.
    """
    try:
        await work
    except Exception as error:
        logs.task_failed(name, error)


class Tasks:
    """Keeps what is running from being lost, and its errors from silence."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task[None]] = set()

    def start(
        self,
        work: collections.abc.Coroutine[typing.Any, typing.Any, None],
        name: str,
    ) -> asyncio.Task[None]:
        """Run a coroutine until it ends or ``stop`` is called."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.running.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logs.task_failed(task.get_name(), error)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
