"""Tests that no two servers own the same keys while faults strike.

A short seeded run of what ``bench/owner_soak.py`` does for long.
"""

import asyncio
import pathlib
import typing

import pytest
from support import soak_rig

PROCESSES: typing.Final = 5
FAULTS_S: typing.Final = 15.0


async def soak(folder: pathlib.Path, seed: int) -> soak_rig.Outcome:
    services = [soak_rig.KEYED_SERVICE] * PROCESSES
    return await soak_rig.Rig(folder, services, seed).run(FAULTS_S)


@pytest.mark.parametrize("seed", [1, 2])
def test_no_keys_have_two_owners(tmp_path: pathlib.Path, seed: int) -> None:
    outcome = asyncio.run(soak(tmp_path, seed))
    assert not [violation.line for violation in outcome.violations]
    assert not outcome.failures
    assert outcome.requests_begun
