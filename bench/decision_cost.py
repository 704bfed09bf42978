#!/usr/bin/env python
"""Measures the processor time of the decisions on one request.

Prints the best mean of five runs, in microseconds.
"""

import collections.abc
import functools
import random
import timeit
import typing

from bronzepaddle import ids
from bronzepaddle.load import expected_cost, load_balancing, server_queue

CALLS: typing.Final = 5000
FLEETS: typing.Final = (4, 13, 73, 195, 1000)
KIND: typing.Final = "read"


def measure(name: str, call: collections.abc.Callable[[], object]) -> None:
    """Print how long a call takes."""
    best_s = min(timeit.repeat(call, number=CALLS, repeat=5)) / CALLS
    print(f"{name:34} {best_s * 1e6:6.1f} us")


def request_features(number: int) -> expected_cost.Features:
    """Return the features of one of several kinds of requests."""
    word = "item" if number % 2 else "report"
    target = f"/shop/{word}/{number}?page=1&size=20"
    return expected_cost.request_features("GET", target, 900, 77, "web")


def main() -> None:
    """Measure all decisions."""
    model = expected_cost.CostModel()
    for number in range(300):
        ratio = 0.3 if number % 2 else 3.0
        model.record(KIND, request_features(number), ratio, number / 10)
    features = request_features(1)
    measure("features", lambda: request_features(1))
    measure("expected cost", lambda: model.factor(KIND, features, 30.0))
    measure(
        "learning from a run",
        lambda: model.record(KIND, features, 0.3, 30.0),
    )
    queue = server_queue.ServerQueue(3, 30.0, costs=model)
    profile = server_queue.RequestProfile(
        0, KIND, 9.0, 9.0, True, features=features
    )
    for _ in range(8):
        queue.submit(profile, 30.0)
    queue.start_next(30.0)

    def submit() -> None:
        entry = queue.submit(profile, 30.0)
        if isinstance(entry, server_queue.QueueEntry):
            queue.remove(entry, 30.0, False)

    measure("submit, 8 in the queue", submit)
    measure("backlog, 8 in the queue", lambda: queue.backlog_s(30.1))
    rng = random.Random(1)
    for size in FLEETS:
        candidates = [
            load_balancing.Candidate(
                ids.MemberId(str(number)), 3, number % 7, 0.1, False, True
            )
            for number in range(size)
        ]
        measure(
            f"choice among {size}",
            functools.partial(
                load_balancing.choose_server, candidates, rng, 2.0
            ),
        )


if __name__ == "__main__":
    main()
