"""Verdicts on whether a request ran, and reasons for them.

Every hop that a request passes through returns a verdict.  A request that is
not idempotent may be retried only if the verdict is ``NOT_RUN``.
"""

import enum


class Verdict(enum.Enum):
    """Whether a backend server may have run the request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(enum.Enum):
    """The reason for a routing decision or for a response.

    ``SERVED`` marks a response of a backend server, ``REPLAYED`` the recorded
    result of an earlier request with the same idempotency key.
    ``problems.title_of`` describes the reasons of error responses.
    """

    SERVED = "served"
    REPLAYED = "replayed"
    OWNER_LOCAL = "owner-local"
    OWNER_REMOTE = "owner-remote"
    LEAST_LOADED = "least-loaded"
    UNKNOWN_NAME = "unknown-name"
    FORMER_NAME = "former-name"
    NO_KEY = "no-key"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    MEMORY_FULL = "memory-full"
    SLOW_CALLER = "slow-caller"
    NO_OWNER = "no-owner"
    NO_BUNDLE = "no-bundle"
    NOT_OWNER = "not-owner"
    NO_LEASE = "no-lease"
    MOVING = "moving"
    NO_BACKEND = "no-backend"
    QUEUE_FULL = "queue-full"
    TOO_LATE = "too-late"
    DRAINING = "draining"
    SHED = "shed"
    NOT_GRANTED = "not-granted"
    PUSHBACK = "pushback"
    SUSPECT = "suspect"
    SUSPECT_WAITS = "suspect-waits"
    CONNECT_FAILED = "connect-failed"
    SERVER_ENDED = "server-ended"
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_LOST = "peer-lost"
    BACKEND_LOST = "backend-lost"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    TRUNCATED = "truncated"
    OLD_ID = "old-id"
    STILL_RUNNING = "still-running"
    RESULT_NOT_KEPT = "result-not-kept"
    RETRY_BUDGET = "retry-budget"
