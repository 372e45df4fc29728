"""Limits on the idle time of callers' connections: the more of them are open, the shorter."""

import math
from typing import NamedTuple

CLOSE_S = 2.0  # a caller that got the notice `lastCall` closes within this time, or the node does
CROWDED_CLOSE_S = 0.3  # the same while many connections are open


class CrowdedLimit(NamedTuple):
    """Limits that apply while more than `open_fraction` of the possible connections are open."""

    open_fraction: float
    used_once_s: float
    idle_s: float


CROWDED_LIMITS = (
    CrowdedLimit(0.2, 4.0, 30.0),
    CrowdedLimit(0.5, 1.0, 4.0),
    CrowdedLimit(0.75, 0.3, 1.0),
)


class IdleLimits(NamedTuple):
    """The idle times after which a connection is sent the notice `lastCall`, and the time until its close."""

    used_once_s: float  # idle time of a connection that has carried one message
    idle_s: float  # idle time of a connection that has carried more
    close_s: float  # time from the notice until the connection is closed


def idle_limits(
    open_connections: int, max_connections: int, configured_us: int, controller_us: int
) -> IdleLimits:
    """Return the limits for this number of open connections.

    `configured_us` is the callers' own idle timeout, 0 if there is none; `controller_us` is the one that the
    controller has set, 0 if there is none.
    """
    # callers close idle connections themselves: the node only enforces a shorter timeout of the controller,
    # and ends the connections of callers that are gone
    limit_us = controller_us if 0 < controller_us < configured_us else 2 * configured_us
    idle_s = limit_us / 1e6 or math.inf
    used_once_s, close_s = idle_s, CLOSE_S
    for limit in CROWDED_LIMITS:
        if open_connections > limit.open_fraction * max_connections:
            used_once_s = min(used_once_s, limit.used_once_s)
            idle_s = min(idle_s, limit.idle_s)
            close_s = CROWDED_CLOSE_S
    return IdleLimits(used_once_s, idle_s, close_s)
