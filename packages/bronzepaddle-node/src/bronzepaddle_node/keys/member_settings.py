"""Settings of a member's part in the ownership of keys."""

import dataclasses

from bronzepaddle import ids, store_leases


@dataclasses.dataclass(frozen=True)
class MemberSettings:
    """Settings of the reconciler; times are in seconds.

    ``max_hold_s`` limits how long one grant lets the server hold keys.
    ``first_start`` is set when the whole system starts for the first time.
    """

    name: ids.MemberId
    incarnation: ids.Incarnation
    service: ids.ServiceName
    times: store_leases.StoreLeaseTimes
    max_hold_s: float
    first_start: bool
