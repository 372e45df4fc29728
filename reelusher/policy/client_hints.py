"""Hints to callers: the advertised capacity, the idle time-out of connections, and the health status.

Each class decides one of the three. Times are microseconds.
"""

from reelusher.policy.settings import CapacityHint, Settings

MAX_ADVERTISED_PER_CORE = 8.0  # largest advertised number of requests in the worker, per core
CAPACITY_BACKOFF_FACTOR = 0.85  # fraction of the capacity that remains after a period of long waits
CAPACITY_RECOVERY_PER_CORE = 0.2  # capacity regained per core in a period without long waits
MAX_CONNECTIONS_PER_CORE = 4.0  # open connections above which the idle time-out is shortened
MIN_IDLE_TIMEOUT_US = 500_000
# Callers that are remembered. When there are more, half of this number are forgotten, those not seen for
# longest.
MAX_CALLERS = 1_000
REUSE_THRESHOLD = 0.8  # fraction of arrivals on reused connections above which the time-out is lengthened
REUSE_WEIGHT = 0.02  # weight of the newest arrival in the moving average of that fraction
MIN_UNHEALTHY_US = 4_000_000  # shortest time for which health checks fail
NEVER_SEEN_US = -(1 << 62)  # last-seen time of a caller that has not been seen


class AdvertisedCapacity:
    """The number of requests that callers may keep in this worker; it shrinks while waits are long."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.capacity = MAX_ADVERTISED_PER_CORE * settings.cores
        self.last_seen_us: dict[int, int] = {}  # by caller, for callers whose hint has not expired

    def apply_settings(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self.settings = settings
        self.capacity = min(self.capacity, MAX_ADVERTISED_PER_CORE * settings.cores)

    def observe_arrival(self, caller: int, now_us: int) -> None:
        """Record that a caller sent a request, and so gets the hint with its reply."""
        self.last_seen_us[caller] = now_us

    def update(self, now_us: int, overloaded: bool, max_runnable: float | None) -> float | None:
        """Return the value to advertise; None where the settings define no capacity hint.

        `max_runnable` is set while the worker warms up. All callers together are then advertised no more than
        that, and callers not seen yet count too: otherwise the first caller would be advertised all the
        capacity, the second half of it, and so on, which is more in total.
        """
        settings = self.settings
        cutoff_us = now_us - settings.hint_ttl_us
        self.last_seen_us = {
            caller: seen_us for caller, seen_us in self.last_seen_us.items() if seen_us > cutoff_us
        }
        max_capacity = MAX_ADVERTISED_PER_CORE * settings.cores
        caller_count = max(len(self.last_seen_us), 1)
        if overloaded:
            self.capacity *= CAPACITY_BACKOFF_FACTOR
        else:
            self.capacity = min(self.capacity + CAPACITY_RECOVERY_PER_CORE * settings.cores, max_capacity)
        if max_runnable is not None:
            self.capacity = min(self.capacity, max_runnable)
            caller_count = max(caller_count, settings.caller_count)
        match settings.capacity_hint:
            case CapacityHint.NONE:
                return None
            case CapacityHint.TOKENS:
                return self.capacity / caller_count
            case CapacityHint.BIAS:
                return self.capacity / max_capacity
            case CapacityHint.MIN_RANK:
                return 1 - self.capacity / max_capacity


class IdleTimeout:
    """The idle time-out of connections; it shrinks while many are open and few are reused.

    This keeps the connection table from filling up, in which case new callers would be turned away. The cost
    is a new handshake for a caller that comes back.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.timeout_us = settings.idle_timeout_us
        self.last_seen_us: dict[int, int] = {}  # by caller; `forget_old_callers` bounds it
        self._reused_fraction = 1.0  # fraction of arrivals from callers whose connection may still be open

    def apply_settings(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self.settings = settings
        self.timeout_us = settings.idle_timeout_us

    def observe_arrival(self, caller: int, now_us: int) -> None:
        """Record that a caller sent a request."""
        idle_us = now_us - self.last_seen_us.get(caller, NEVER_SEEN_US)
        reused = idle_us < self.settings.idle_timeout_us
        self._reused_fraction += REUSE_WEIGHT * (reused - self._reused_fraction)
        self.last_seen_us[caller] = now_us

    def forget_old_callers(self) -> None:
        """Bound the memory that callers take by forgetting those not seen for longest."""
        if len(self.last_seen_us) > MAX_CALLERS:
            by_last_seen = sorted(self.last_seen_us.items(), key=lambda item: item[1])
            self.last_seen_us = dict(by_last_seen[MAX_CALLERS // 2 :])

    def update(self, connections: float) -> int | None:
        """Adapt the time-out to the number of open connections; return it, or None if it does not change.

        It never exceeds that of the settings, and is at least `MIN_IDLE_TIMEOUT_US` unless that is lower.
        """
        max_connections = MAX_CONNECTIONS_PER_CORE * self.settings.cores
        factor = 1.0
        if self._reused_fraction > REUSE_THRESHOLD or connections < max_connections / 2:
            factor = 2.0
        elif connections > max_connections:
            factor = 0.5
        timeout_us = max(int(self.timeout_us * factor), MIN_IDLE_TIMEOUT_US)
        timeout_us = min(timeout_us, self.settings.idle_timeout_us)
        if timeout_us == self.timeout_us:
            return None
        self.timeout_us = timeout_us
        return timeout_us


class HealthStatus:
    """The health status: checks fail while only this worker is slow, so that the others get its load."""

    def __init__(self) -> None:
        self.healthy = True
        self._unhealthy_until_us = 0

    def update(self, now_us: int, local_slowdown: bool, overloaded: bool) -> bool:
        """Update the status and return whether it changed.

        `local_slowdown` says that requests are read late although no more arrive than usual. The status is
        healthy again only after `MIN_UNHEALTHY_US` without a slowdown, and not while waits are long.
        """
        was_healthy = self.healthy
        if local_slowdown:
            self.healthy, self._unhealthy_until_us = False, now_us + MIN_UNHEALTHY_US
        elif now_us > self._unhealthy_until_us and not overloaded:
            self.healthy = True
        return self.healthy is not was_healthy
