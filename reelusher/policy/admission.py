"""Which arrivals are rejected at random, and how overloaded this worker is. Times are microseconds."""

from collections.abc import Collection
from random import Random

from reelusher.policy.in_flight import InFlightRequest
from reelusher.policy.settings import RequestClass

MAX_WAIT_FRACTION = 0.08  # of the shortest objective: longer waits reject arrivals
RECENT_RATE_WEIGHT = 0.05  # of the newest period in the mean arrivals of late
BASELINE_RATE_WEIGHT = 0.02  # of the newest period in the mean arrivals while waits are short
FLEET_OVERLOAD_RATIO = 1.2  # times the baseline: the other workers are full too
UNHEALTHY_WAIT_FRACTION = 0.7  # of the shortest objective, unread for which a worker is slow
MAX_REJECTION_PROBABILITY = 0.9
REJECTION_DECAY = 0.7  # of the probability, left a period after its cause has gone
MIN_RETRY_AFTER_US = 100_000


class AdmissionControl:
    """Rejects arrivals at random while requests wait for long, those of a higher priority less often."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self.rejection_probability = 0.0  # of an arrival of the lowest priority
        self.overloaded = False  # waits exceed their fraction of the shortest objective
        self._oldest_ages_us = (0, 0, 0)  # of held requests, at the last periods
        self._longest_unread_us = 0  # in this period
        self._arrivals = 0  # in this period
        self.recent_rate = 0.0  # mean arrivals in a period
        self._baseline_rate = 0.0  # the same, while waits are short
        self._shortest_objective_us = 0
        self._lowest_weight = 1.0

    def apply_classes(self, classes: Collection[RequestClass]) -> None:
        """Use the objectives and priorities of these classes from now on."""
        self._shortest_objective_us = min(request_class.objective_us for request_class in classes)
        weights = [request_class.priority_weight for request_class in classes]
        self._lowest_weight = min((weight for weight in weights if weight > 0), default=1.0)

    def observe_arrival(self, waited_us: int) -> None:
        """Note a request that was read, so long after it reached the machine."""
        self._longest_unread_us = max(self._longest_unread_us, waited_us)
        self._arrivals += 1

    def is_slow_alone(self) -> bool:
        """Return whether requests lie unread for long although no more come than usual."""
        slow = self._longest_unread_us > UNHEALTHY_WAIT_FRACTION * self._shortest_objective_us
        return slow and 0 < self.recent_rate <= FLEET_OVERLOAD_RATIO * self._baseline_rate

    def is_fleet_overloaded(self) -> bool:
        """Return whether waits are long and more requests come than usual: a retry elsewhere is in vain."""
        return self.overloaded and self.recent_rate > FLEET_OVERLOAD_RATIO * self._baseline_rate

    def update(
        self, held: Collection[InFlightRequest], now_us: int, all_degraded: bool, healthy: bool
    ) -> None:
        """Set the probability of the next period.

        It rises while all clients are degraded and the oldest held request still gets older, and while waits
        are long, whatever the degraded fraction is.
        """
        oldest_us = min((in_flight.arrived_us for in_flight in held), default=now_us)
        oldest_age_us = max(now_us - oldest_us, self._longest_unread_us)
        self._oldest_ages_us = (*self._oldest_ages_us[1:], oldest_age_us)
        self._longest_unread_us = 0
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
        """Return the probability that an arrival of a class is rejected."""
        lowest = self._lowest_weight
        relative_weight = max(request_class.priority_weight, lowest) / lowest
        return float(self.rejection_probability**relative_weight)

    def draws_rejection(self, probability: float, is_retry: bool) -> bool:
        """Return whether an arrival is rejected: a retry always while waits are long, others at random."""
        if self.overloaded and is_retry:
            return True
        return self._random.random() < probability

    def retry_after_us(self, longest_us: int) -> int:
        """Return how long a rejected caller is asked to wait: the age of the oldest held request, bounded."""
        return min(max(MIN_RETRY_AFTER_US, self._oldest_ages_us[2]), longest_us)
