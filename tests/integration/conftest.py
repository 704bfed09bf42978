"""Fixtures of the integration tests."""

import collections.abc
import pathlib

import pytest

from integration import processes


@pytest.fixture
def fleet(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[processes.Fleet]:
    """Yield a fleet without VMs and stop it when the test ends."""
    running = processes.Fleet(tmp_path)
    try:
        yield running
    finally:
        running.stop()
