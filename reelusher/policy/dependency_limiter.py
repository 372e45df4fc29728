"""How many downstream calls may be in flight: a leaky bucket keeps their mean under this worker's quota."""

from collections import deque
from collections.abc import Collection

from reelusher.policy.in_flight import InFlightRequest
from reelusher.policy.settings import Settings
from reelusher.policy.timing import NEVER_US

SAFE_QUOTA_FRACTION = 0.4  # of the quota, that calls in flight stay under in the mean
BURST_US = 250_000  # of that mean, which may be used in advance
MIN_DURATION_FACTOR = 2  # times the mean duration that a call must have time for
MAX_DURATION_FACTOR = 8  # times the mean duration that a call may last,
MAX_SPARE_FRACTION = 0.25  # or this part of the call time to spare, if that is more
NEWEST_WEIGHT = 0.1  # of the newest call in the mean duration
IDLE_DECAY = 0.99  # of the mean duration, each period without a call: else a slow spell would lock calls out


class DependencyLimiter:
    """Accounts for the calls in flight over time. Times are microseconds, call time is calls times that."""

    def __init__(self, settings: Settings) -> None:
        self.mean_duration_us = 0.0
        self.excess_us = 0.0  # call time beyond the safe level, summed up
        self._accounted_us = 0  # up to when that is
        self._abandoned_until_us: deque[int] = deque()  # when each abandoned call has ended at the latest
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self._quota = min(settings.dependency_concurrency_quota, float(NEVER_US))
        self._quota_us = self._quota * max(settings.dependency_window_us, 1)
        self._abandoned_call_us = settings.abandoned_call_us

    def start(self, now_us: int) -> None:
        """Account from this time on."""
        self._accounted_us = now_us

    def account(self, now_us: int, calling_count: int) -> None:
        """Bring the account up to date."""
        over = self.in_flight(now_us, calling_count) - SAFE_QUOTA_FRACTION * self._quota
        self.excess_us = max(0.0, self.excess_us + over * (now_us - self._accounted_us))
        self._accounted_us = now_us

    def in_flight(self, now_us: int, calling_count: int) -> int:
        """Return how many calls may load the downstream service, abandoned ones included."""
        while self._abandoned_until_us and self._abandoned_until_us[0] <= now_us:
            self._abandoned_until_us.popleft()
        return len(self._abandoned_until_us) + calling_count

    def call_abandoned(self, now_us: int) -> None:
        """Count a call that nobody waits for any more, and that may still run downstream."""
        self._abandoned_until_us.append(now_us + self._abandoned_call_us)

    def observe(self, duration_us: int) -> None:
        """Take the duration of a call into account."""
        if self.mean_duration_us:
            self.mean_duration_us += NEWEST_WEIGHT * (duration_us - self.mean_duration_us)
        else:
            self.mean_duration_us = duration_us

    def start_with(self, mean_duration_us: float) -> None:
        """Use the estimate of other workers until a call is seen here."""
        self.mean_duration_us = self.mean_duration_us or mean_duration_us

    def decay_if_idle(self, now_us: int, calling_count: int) -> None:
        """Let the mean duration decay while there is no call."""
        if not self.in_flight(now_us, calling_count):
            self.mean_duration_us *= IDLE_DECAY

    def spare_us(self, now_us: int, calling: Collection[InFlightRequest]) -> float:
        """Return the call time to spare: the mean over any window then stays under the quota."""
        abandoned_us = self._abandoned_call_us
        reserved = sum(in_flight.call_until_us + abandoned_us - now_us for in_flight in calling)
        reserved += sum(until_us - now_us for until_us in self._abandoned_until_us)
        return (1 - SAFE_QUOTA_FRACTION) * self._quota_us - self.excess_us - reserved - abandoned_us

    def max_duration_us(self, spare_us: float, time_left_us: int) -> int | None:
        """Return how long a call may last; None where it must not be made now."""
        longest_us = max(MAX_DURATION_FACTOR * self.mean_duration_us, MAX_SPARE_FRACTION * spare_us)
        longest_us = min(spare_us, longest_us, time_left_us)
        burst_us = BURST_US * SAFE_QUOTA_FRACTION * self._quota
        if self.excess_us <= burst_us and longest_us > MIN_DURATION_FACTOR * self.mean_duration_us:
            return int(longest_us)
        return None

    def reserved_us(self, duration_us: int) -> int:
        """Return the call time that a call of this maximal duration takes from what is to spare."""
        return duration_us + self._abandoned_call_us
