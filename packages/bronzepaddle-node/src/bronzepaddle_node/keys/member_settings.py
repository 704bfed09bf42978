"""Settings of a member's part in the ownership of keys."""

import dataclasses

from bronzepaddle import ids, store_leases
from bronzepaddle.load import store_reads


@dataclasses.dataclass(frozen=True)
class MemberSettings:
    """Settings of the reconciler; times are in seconds.

    ``max_hold_s`` limits how long one grant lets the server hold keys.
    ``first_start`` is set when the whole system starts for the first time.
    ``readers`` is the number of members that read the ownership object for
    all others.
    """

    name: ids.MemberId
    incarnation: ids.Incarnation
    service: ids.ServiceName
    times: store_leases.StoreLeaseTimes
    max_hold_s: float
    first_start: bool
    readers: int = store_reads.DEFAULT_READERS
