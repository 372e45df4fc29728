"""What callers are advised: how much capacity there is, when idle connections close, and health.

Each class decides one of the three; times are microseconds.
"""

from reelusher.policy.settings import CapacityHint, Settings

MAX_ADVERTISED_PER_CORE = 8.0  # requests in the worker
CAPACITY_BACKOFF_FACTOR = 0.85  # of the capacity, left after a period of long waits
CAPACITY_RECOVERY_PER_CORE = 0.2  # regained in a period without
MAX_CONNECTIONS_PER_CORE = 4.0  # above which idle connections are closed sooner
MIN_IDLE_TIMEOUT_US = 500_000
MAX_CALLERS = 1_000  # remembered; past that the half not heard of for longest is forgotten
REUSE_THRESHOLD = 0.8  # of arrivals on known connections: above it idle connections are left alone
REUSE_WEIGHT = 0.02  # of the newest arrival in that fraction
MIN_UNHEALTHY_US = 4_000_000  # that health checks fail for at least
NEVER_HEARD_US = -(1 << 62)


class AdvertisedCapacity:
    """How many requests callers may keep here: less while requests wait for long."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.capacity = MAX_ADVERTISED_PER_CORE * settings.cores
        self.heard_us: dict[int, int] = {}  # when each caller was heard, as long as it remembers the hint

    def apply_settings(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self.settings = settings
        self.capacity = min(self.capacity, MAX_ADVERTISED_PER_CORE * settings.cores)

    def observe_arrival(self, caller: int, now_us: int) -> None:
        """Note that a caller was heard, so that it gets the hint with its reply."""
        self.heard_us[caller] = now_us

    def update(self, now_us: int, overloaded: bool, max_runnable: float | None) -> float | None:
        """Return the value to advertise; None where the site has no hint.

        `max_runnable` is set while the worker warms up. All callers together are then advertised no more than
        that, and those not heard yet count too: each was advertised all the capacity there was before.
        """
        settings = self.settings
        oldest_us = now_us - settings.hint_ttl_us
        self.heard_us = {
            caller: heard_us for caller, heard_us in self.heard_us.items() if heard_us > oldest_us
        }
        most = MAX_ADVERTISED_PER_CORE * settings.cores
        callers = max(len(self.heard_us), 1)
        if overloaded:
            self.capacity *= CAPACITY_BACKOFF_FACTOR
        else:
            self.capacity = min(self.capacity + CAPACITY_RECOVERY_PER_CORE * settings.cores, most)
        if max_runnable is not None:
            self.capacity = min(self.capacity, max_runnable)
            callers = max(callers, settings.caller_count)
        match settings.capacity_hint:
            case CapacityHint.NONE:
                return None
            case CapacityHint.TOKENS:
                return self.capacity / callers
            case CapacityHint.BIAS:
                return self.capacity / most
            case CapacityHint.MIN_RANK:
                return 1 - self.capacity / most


class IdleTimeout:
    """When idle connections close: sooner while many are open and few are used again.

    It keeps the table of connections from filling, which would turn callers away; a caller that comes back
    pays for a handshake.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.timeout_us = settings.idle_timeout_us
        self.last_heard_us: dict[int, int] = {}  # of all callers ever heard
        self._reused_fraction = 1.0  # of arrivals, whose caller could still have its connection

    def apply_settings(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self.settings = settings
        self.timeout_us = settings.idle_timeout_us

    def observe_arrival(self, caller: int, now_us: int) -> None:
        """Note that a caller was heard."""
        silent_us = now_us - self.last_heard_us.get(caller, NEVER_HEARD_US)
        reused = silent_us < self.settings.idle_timeout_us
        self._reused_fraction += REUSE_WEIGHT * (reused - self._reused_fraction)
        self.last_heard_us[caller] = now_us

    def forget_old_callers(self) -> None:
        """Bound the memory that callers take: they come and go."""
        if len(self.last_heard_us) > MAX_CALLERS:
            order = sorted(self.last_heard_us.items(), key=lambda item: item[1])
            self.last_heard_us = dict(order[MAX_CALLERS // 2 :])

    def update(self, connections: float) -> int | None:
        """Return the new time-out where it changes."""
        most = MAX_CONNECTIONS_PER_CORE * self.settings.cores
        factor = 1.0
        if self._reused_fraction > REUSE_THRESHOLD or connections < most / 2:
            factor = 2.0
        elif connections > most:
            factor = 0.5
        timeout_us = max(int(self.timeout_us * factor), MIN_IDLE_TIMEOUT_US)
        timeout_us = min(timeout_us, self.settings.idle_timeout_us)
        if timeout_us == self.timeout_us:
            return None
        self.timeout_us = timeout_us
        return timeout_us


class HealthStatus:
    """Health checks fail while this worker alone is slow: the others then get its load."""

    def __init__(self) -> None:
        self.healthy = True
        self._unhealthy_until_us = 0

    def update(self, now_us: int, slow_alone: bool, overloaded: bool) -> bool:
        """Return whether the status changed.

        `slow_alone`: requests lie unread for long although no more come than usual.
        """
        before = self.healthy
        if slow_alone:
            self.healthy, self._unhealthy_until_us = False, now_us + MIN_UNHEALTHY_US
        elif now_us > self._unhealthy_until_us and not overloaded:
            self.healthy = True
        return self.healthy is not before
