"""Which run of the backend server the grants under each token have reached.

The grants under one token go to one run of the server only.  Once another run
may have answered, the token is outdated: its keys need a new one, which is
higher than any that an earlier run has had.
"""

import typing

from bronzepaddle import ids
from bronzepaddle_backend import reached_runs

MAX_TOKENS: typing.Final = 1000
"""Number of tokens that are remembered, the newest ones."""


class TokenRuns:
    """The run that each token has reached; for the event loop only."""

    def __init__(self) -> None:
        self.reached: dict[ids.Token, reached_runs.ReachedRun] = {}
        self.outdated: set[ids.Token] = set()

    def run_of(self, token: ids.Token) -> reached_runs.ReachedRun | None:
        """Return the run that a token has reached, None if it has none."""
        return self.reached.get(token)

    def record(self, token: ids.Token, run: reached_runs.ReachedRun) -> None:
        """Record that a grant under a token may have reached a run."""
        self.reached.setdefault(token, run)
        if len(self.reached) > MAX_TOKENS:
            oldest = min(self.reached)
            del self.reached[oldest]
            self.outdated.discard(oldest)

    def record_other(self, run: reached_runs.ReachedRun) -> None:
        """Record that another run may have answered, under the same id."""
        self.outdated |= {
            token for token, reached in self.reached.items() if reached != run
        }
