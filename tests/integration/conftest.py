"""Fixtures of the integration tests."""

import collections.abc
import pathlib

import pytest

from integration import processes


@pytest.fixture
def fleet(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[processes.Fleet]:
    """Return an empty fleet that is stopped when the test ends."""
    found = processes.Fleet(tmp_path)
    try:
        yield found
    finally:
        found.stop()
