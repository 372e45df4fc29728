"""How long connections of callers may be idle: shorter the more of them are open."""

import math
from typing import NamedTuple

CLOSE_S = 2.0  # a caller that got the last call closes within this, or is closed
CROWDED_CLOSE_S = 0.3  # the same while many connections are open


class CrowdedLimit(NamedTuple):
    """Limits that hold while more than a fraction of the connections are open."""

    open_fraction: float
    used_once_s: float
    idle_s: float


CROWDED_LIMITS = (
    CrowdedLimit(0.2, 4.0, 30.0),
    CrowdedLimit(0.5, 1.0, 4.0),
    CrowdedLimit(0.75, 0.3, 1.0),
)


class IdleLimits(NamedTuple):
    """After how many seconds a connection is ended."""

    used_once_s: float  # of idling, where it carried one message
    idle_s: float  # of idling, where it carried more
    close_s: float  # after the last call


def idle_limits(
    open_connections: int, max_connections: int, configured_us: int, advertised_us: int
) -> IdleLimits:
    """Return the limits at present; `configured_us` is the callers' own time-out, 0 where there is none."""
    # callers close idle connections themselves; only a shorter advertised time, or a dead peer, is for us
    limit_us = advertised_us if 0 < advertised_us < configured_us else 2 * configured_us
    idle_s = limit_us / 1e6 or math.inf
    used_once_s, close_s = idle_s, CLOSE_S
    for limit in CROWDED_LIMITS:
        if open_connections > limit.open_fraction * max_connections:
            used_once_s = min(used_once_s, limit.used_once_s)
            idle_s = min(idle_s, limit.idle_s)
            close_s = CROWDED_CLOSE_S
    return IdleLimits(used_once_s, idle_s, close_s)
