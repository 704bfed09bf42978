"""Helpers for tests and benchmarks that send requests as callers do."""

import time
import uuid


def uuid7() -> str:
    """Return a new UUIDv7 (RFC 9562) to use as an idempotency key."""
    milliseconds = time.time_ns() // 1_000_000
    value = (milliseconds << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = (value & ~(0xF << 76)) | (7 << 76)
    value = (value & ~(0x3 << 62)) | (2 << 62)
    return str(uuid.UUID(int=value))
