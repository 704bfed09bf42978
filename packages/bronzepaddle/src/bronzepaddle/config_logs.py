"""Log lines on the configuration: what was asked, told and put into effect.

They follow the rules of ``logs``.  From the lines of all processes one can
tell when a process asked the store, what it was told, and what was in effect.
"""

import enum
import traceback

import eliot

from bronzepaddle import ids, route_table, store_versions


class Question(enum.Enum):
    """A way to ask the store for the configuration."""

    READ = "read"
    WATCH = "watch"


class Outcome(enum.Enum):
    """What the store answered when it was asked for the configuration."""

    FOUND = "found"
    NOTHING_NEWER = "nothing-newer"
    FAILED = "failed"


def config_refused(
    version: ids.BundleVersion | None,
    problem: route_table.ConfigProblem,
    in_force: ids.BundleVersion,
) -> None:
    """Log an invalid configuration, of which nothing takes effect.

    ``version`` is None if it can't be read.  The version ``in_force`` stays in
    effect; it is 0 if there is none.
    """
    eliot.log_message(
        message_type="config-refused",
        version=version,
        place=problem.place,
        reason=problem.reason,
        in_force=in_force,
    )


def config_not_applied(version: ids.BundleVersion, error: Exception) -> None:
    """Log that a part of the process failed to apply a configuration.

    The version before it counts as the one in effect; it is tried again.
    """
    eliot.log_message(
        message_type="config-not-applied",
        version=version,
        detail=repr(error),
        traceback="".join(traceback.format_exception(error)),
    )


def config_asked(
    question: Question,
    since: store_versions.StoreVersion,
    took_s: float,
    outcome: Outcome,
    found: store_versions.StoreVersion | None,
) -> None:
    """Log that the store was asked for the configuration, and its answer.

    ``since`` is the version of the object that was known before, ``found``
    that of the answer, None if it has no newer one.
    """
    eliot.log_message(
        message_type="config-asked",
        question=question.value,
        era=since.era,
        since=since.revision,
        took_s=round(took_s, 3),
        outcome=outcome.value,
        found=None if found is None else found.revision,
    )


def config_pulled(
    peer: ids.MemberId,
    reported: ids.BundleVersion,
    received: ids.BundleVersion | None,
    took_s: float,
) -> None:
    """Log that the configuration was asked of a peer, and its answer.

    ``reported`` is the version in the peer's status, ``received`` that of the
    answer, None if there was none.
    """
    eliot.log_message(
        message_type="config-pulled",
        peer=peer,
        reported=reported,
        received=received,
        took_s=round(took_s, 3),
    )


def in_force(version: ids.BundleVersion, source: str) -> None:
    """Log the configuration that is in effect from now on."""
    eliot.log_message(message_type="in-force", version=version, source=source)
