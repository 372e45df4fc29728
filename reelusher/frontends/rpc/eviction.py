"""Which connections are idle for too long, and which make room for new ones, in which order."""

from reelusher.frontends.rpc.connection import Connection
from reelusher.frontends.rpc.idle_limits import IdleLimits

SILENT_S = 1.5  # a connection without a complete message is sent `lastCall` after this time
PARTIAL_PROTECTED_S = 0.4  # an incomplete message counts as use of its connection for this long
MIN_IDLE_S = 0.1  # a connection that was opened or used less than this ago is not evicted


def idle_limit_s(connection: Connection, limits: IdleLimits) -> float:
    """Return the idle time in seconds after which a connection is sent `lastCall`."""
    if not connection.messages_read:
        return min(SILENT_S, limits.idle_s)
    return limits.used_once_s if connection.messages_read == 1 else limits.idle_s


def is_evictable(connection: Connection, now: float, max_stalled_s: float) -> bool:
    """Return whether a connection may be closed at `now` to make room for a new one.

    A backlog that has stalled for longer than `max_stalled_s` does not protect it.
    """
    if connection.unanswered or connection.rejecting_since_s:
        return False
    if connection.send_buffer.backlog and connection.send_buffer.stalled_for(now) <= max_stalled_s:
        return False
    if connection.ended:  # nothing is read any more; without a backlog it is about to be closed
        return connection.send_buffer.backlog > 0
    in_use_until_s = max(connection.last_used_s, connection.partial_since_s + PARTIAL_PROTECTED_S)
    return now - in_use_until_s > MIN_IDLE_S


def eviction_order(connection: Connection) -> tuple[int, float]:
    """Return the sort key of evictions: unused connections first, then those used once, then all others.

    Connections with an incomplete message come last; within a group, the longest idle comes first.
    """
    group = 3 if connection.partial_since_s else min(connection.messages_read, 2)
    return group, connection.last_used_s
