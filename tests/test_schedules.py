"""Tests of a cell under random schedules of faults.

``bench/schedules.py`` runs many more schedules.
"""

import random

import hypothesis
import hypothesis.strategies
import pytest
from support import broken, schedules, world


@hypothesis.settings(
    max_examples=20,
    derandomize=True,
    deadline=None,
    database=None,
    # No shrinking, which takes minutes: the note shows the whole schedule.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(hypothesis.strategies.randoms(use_true_random=False))
def test_never_two_owners_and_always_one_again(rng: random.Random) -> None:
    events = schedules.drawn(rng)
    hypothesis.note(str(events))
    world.tell(schedules.story(events), seed=1)


def test_unconditional_write_is_caught() -> None:
    events = schedules.drawn(random.Random(4))
    with (
        broken.applied("unconditional-write"),
        pytest.raises(world.Violation),
    ):
        world.tell(schedules.story(events), seed=4)
