"""Random rejection of arrivals, and detection of overload and slowness. Times are microseconds."""

from collections.abc import Collection
from random import Random

from reelusher.policy.in_flight import InFlightRequest
from reelusher.policy.settings import RequestClass

# Wait, as a fraction of the shortest objective, above which arrivals are rejected.
MAX_WAIT_FRACTION = 0.08
RECENT_RATE_WEIGHT = 0.05  # weight of the newest period in the moving average of arrivals per period
BASELINE_RATE_WEIGHT = 0.02  # weight of the newest period in the same average over periods of short waits
# Ratio of the recent to the baseline arrival rate above which the other workers are assumed to be full too.
FLEET_OVERLOAD_RATIO = 1.2
# Read delay, as a fraction of the shortest objective, above which a worker counts as slow.
UNHEALTHY_READ_DELAY_FRACTION = 0.7
MAX_REJECTION_PROBABILITY = 0.9
REJECTION_DECAY = 0.7  # fraction of the probability that remains after a period in which nothing raises it
MIN_RETRY_AFTER_US = 100_000


class AdmissionControl:
    """Rejects arrivals at random while waits are long, and those of higher priority less often."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self.rejection_probability = 0.0  # for an arrival of the lowest priority
        self.overloaded = False  # waits exceed `MAX_WAIT_FRACTION` of the shortest objective
        # in each of the last three periods: age of the oldest held request, or longest read delay if longer
        self._oldest_ages_us = (0, 0, 0)
        self._longest_read_delay_us = 0  # longest time before a request of this period was read
        self._arrivals = 0  # number of arrivals in this period
        self.recent_rate = 0.0  # moving average of arrivals per period
        self._baseline_rate = 0.0  # the same average over the periods with short waits and a healthy worker
        self._shortest_objective_us = 0
        self._lowest_weight = 1.0

    def apply_classes(self, classes: Collection[RequestClass]) -> None:
        """Use the objectives and priorities of these classes from now on."""
        self._shortest_objective_us = min(request_class.objective_us for request_class in classes)
        weights = [request_class.priority_weight for request_class in classes]
        self._lowest_weight = min((weight for weight in weights if weight > 0), default=1.0)

    def observe_arrival(self, waited_us: int) -> None:
        """Count a request that was read `waited_us` after it reached the machine."""
        self._longest_read_delay_us = max(self._longest_read_delay_us, waited_us)
        self._arrivals += 1

    def has_local_slowdown(self) -> bool:
        """Return whether requests are read late although no more arrive than usual.

        The cause is then this worker and not the load.
        """
        slow = self._longest_read_delay_us > UNHEALTHY_READ_DELAY_FRACTION * self._shortest_objective_us
        return slow and 0 < self.recent_rate <= FLEET_OVERLOAD_RATIO * self._baseline_rate

    def is_fleet_overloaded(self) -> bool:
        """Return whether waits are long and more requests arrive than usual.

        The other workers are then overloaded too, so a retry on one of them would not help.
        """
        return self.overloaded and self.recent_rate > FLEET_OVERLOAD_RATIO * self._baseline_rate

    def update(
        self, held: Collection[InFlightRequest], now_us: int, all_degraded: bool, healthy: bool
    ) -> None:
        """Set the rejection probability for the next period.

        It decays in each period. While waits are long, or `all_degraded` is set and waits have grown over the
        last three periods, it is at least the wait as a fraction of the shortest objective, up to
        `MAX_REJECTION_PROBABILITY`. The wait is the age of the oldest held request, or the longest read delay
        of the period if that is longer.

        `all_degraded` says that G of `UtilizationLoop` is 1. While the worker is not `healthy`, the baseline
        arrival rate is not updated.
        """
        oldest_us = min((in_flight.arrived_us for in_flight in held), default=now_us)
        oldest_age_us = max(now_us - oldest_us, self._longest_read_delay_us)
        self._oldest_ages_us = (*self._oldest_ages_us[1:], oldest_age_us)
        self._longest_read_delay_us = 0
        self._update_rates(healthy)
        relative_age = oldest_age_us / self._shortest_objective_us
        self.overloaded = relative_age > MAX_WAIT_FRACTION
        self.rejection_probability *= REJECTION_DECAY
        first_us, second_us, third_us = self._oldest_ages_us
        if self.overloaded or (all_degraded and first_us < second_us < third_us):
            probability = max(self.rejection_probability, relative_age)
            self.rejection_probability = min(probability, MAX_REJECTION_PROBABILITY)

    def _update_rates(self, healthy: bool) -> None:
        self.recent_rate += RECENT_RATE_WEIGHT * (self._arrivals - self.recent_rate)
        if not self.overloaded and healthy:
            self._baseline_rate += BASELINE_RATE_WEIGHT * (self._arrivals - self._baseline_rate)
        self._arrivals = 0

    def probability_for(self, request_class: RequestClass) -> float:
        """Return the probability with which an arrival of a class is rejected."""
        lowest_weight = self._lowest_weight
        relative_weight = max(request_class.priority_weight, lowest_weight) / lowest_weight
        return float(self.rejection_probability**relative_weight)

    def draws_rejection(self, probability: float, is_retry: bool) -> bool:
        """Return whether to reject an arrival: every retry while waits are long, others at random."""
        if self.overloaded and is_retry:
            return True
        return self._random.random() < probability

    def retry_after_us(self, max_us: int) -> int:
        """Return how long a rejected caller should wait before it retries.

        This is the wait that `update` determined, at least `MIN_RETRY_AFTER_US` and at most `max_us`.
        """
        return min(max(MIN_RETRY_AFTER_US, self._oldest_ages_us[2]), max_us)
