"""A leaky bucket that keeps the mean number of downstream calls in flight under the worker's quota."""

from collections import deque
from collections.abc import Collection

from reelusher.policy.in_flight import InFlightRequest
from reelusher.policy.settings import Settings
from reelusher.policy.timing import NEVER_US

SAFE_QUOTA_FRACTION = 0.4  # mean number of calls in flight to stay under, as a fraction of the quota
# No call is made while more excess call time has accumulated than calls at that mean use in this time.
BURST_US = 250_000
MIN_DURATION_FACTOR = 2  # a call is made only if it may last more than this multiple of the mean duration
# A call may last this multiple of the mean duration, or this fraction of the spare call time if that is more.
MAX_DURATION_FACTOR = 8
MAX_SPARE_FRACTION = 0.25
NEWEST_WEIGHT = 0.1  # weight of the newest call in the moving average of the duration
# Factor on the mean duration in each period without a call in flight. Without this decay, a slow spell could
# leave a mean so long that no call is allowed any more, and so none would bring the mean down again.
IDLE_DECAY = 0.99


class DependencyLimiter:
    """Accounts for calls in flight over time.

    Times are microseconds. Call time is the number of calls in flight multiplied by time.
    """

    def __init__(self, settings: Settings) -> None:
        self.mean_duration_us = 0.0
        self.excess_us = 0.0  # accumulated call time beyond the safe level
        self._accounted_until_us = 0  # time up to which `excess_us` is computed
        self._abandoned_until_us: deque[int] = deque()  # latest end of each abandoned call
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use other settings from now on."""
        self._quota = min(settings.dependency_concurrency_quota, float(NEVER_US))
        self._quota_us = self._quota * max(settings.dependency_window_us, 1)
        self._abandoned_call_us = settings.abandoned_call_us

    def start(self, now_us: int) -> None:
        """Start the accounting at this time."""
        self._accounted_until_us = now_us

    def account(self, now_us: int, calling_count: int) -> None:
        """Bring the accumulated excess up to date."""
        excess_calls = self.in_flight(now_us, calling_count) - SAFE_QUOTA_FRACTION * self._quota
        self.excess_us = max(0.0, self.excess_us + excess_calls * (now_us - self._accounted_until_us))
        self._accounted_until_us = now_us

    def in_flight(self, now_us: int, calling_count: int) -> int:
        """Return how many calls may load the downstream service, including abandoned ones."""
        while self._abandoned_until_us and self._abandoned_until_us[0] <= now_us:
            self._abandoned_until_us.popleft()
        return len(self._abandoned_until_us) + calling_count

    def call_abandoned(self, now_us: int) -> None:
        """Count a call that was abandoned but may still run downstream."""
        self._abandoned_until_us.append(now_us + self._abandoned_call_us)

    def observe(self, duration_us: int) -> None:
        """Update the mean duration with that of a call that succeeded or timed out."""
        if self.mean_duration_us:
            self.mean_duration_us += NEWEST_WEIGHT * (duration_us - self.mean_duration_us)
        else:
            self.mean_duration_us = duration_us

    def warm_start(self, mean_duration_us: float) -> None:
        """Use the estimate of other workers until a call is observed here."""
        self.mean_duration_us = self.mean_duration_us or mean_duration_us

    def decay_if_idle(self, now_us: int, calling_count: int) -> None:
        """Let the mean duration decay in a period without calls in flight."""
        if not self.in_flight(now_us, calling_count):
            self.mean_duration_us *= IDLE_DECAY

    def spare_us(self, now_us: int, calling: Collection[InFlightRequest]) -> float:
        """Return the call time left for new calls if the mean over any window is to stay under the quota."""
        abandoned_us = self._abandoned_call_us
        reserved = sum(in_flight.call_until_us + abandoned_us - now_us for in_flight in calling)
        reserved += sum(until_us - now_us for until_us in self._abandoned_until_us)
        return (1 - SAFE_QUOTA_FRACTION) * self._quota_us - self.excess_us - reserved - abandoned_us

    def max_duration_us(self, spare_us: float, time_left_us: int) -> int | None:
        """Return how long a call may last; None if it must not be made now."""
        longest_us = max(MAX_DURATION_FACTOR * self.mean_duration_us, MAX_SPARE_FRACTION * spare_us)
        longest_us = min(spare_us, longest_us, time_left_us)
        burst_us = BURST_US * SAFE_QUOTA_FRACTION * self._quota
        if self.excess_us <= burst_us and longest_us > MIN_DURATION_FACTOR * self.mean_duration_us:
            return int(longest_us)
        return None

    def reserved_us(self, duration_us: int) -> int:
        """Return the spare call time that a call of this maximum duration uses."""
        return duration_us + self._abandoned_call_us
