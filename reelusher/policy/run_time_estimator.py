"""Estimates of run times: a moving average per class, scaled by the expected work of each request."""

from reelusher.policy.events import Request
from reelusher.policy.in_flight import InFlightRequest

NEWEST_WEIGHT = 0.1  # weight of the newest run in the moving average of its class
SAFETY_FACTOR = 1.3  # factor on the mean in an estimate, as about half of all runs take longer than the mean
# Largest estimate, as a fraction of the objective. A slow spell thus cannot cause all requests of a class to
# be rejected.
MAX_OBJECTIVE_FRACTION = 0.5


class RunTimeEstimator:
    """Keeps the mean run time and mean expected work of each class, in microseconds."""

    def __init__(self) -> None:
        self._run_time_us: list[float] = []  # by class index
        self._expected_us: list[float] = []  # mean expected work of the same runs; 0: none observed

    def set_class_count(self, count: int) -> None:
        """Add estimates for new classes; known classes keep theirs."""
        unknown = [0.0] * (count - len(self._run_time_us))
        self._run_time_us += unknown
        self._expected_us += unknown

    def observe(self, request: Request, duration_us: int) -> None:
        """Update the estimate of a class with a run that succeeded."""
        class_index = request.class_index
        weight = NEWEST_WEIGHT if self._expected_us[class_index] else 1.0
        expected_us = request.expected_work_us or 1
        self._run_time_us[class_index] += weight * (duration_us - self._run_time_us[class_index])
        self._expected_us[class_index] += weight * (expected_us - self._expected_us[class_index])

    def warm_start(self, ratios: dict[int, float]) -> None:
        """Use estimates of other workers, by class index, until a run is observed here.

        They are weighted as runs with an expected work of 1 us, so that the first run outweighs them.
        """
        for class_index, ratio in ratios.items():
            if not self._expected_us[class_index]:
                self._run_time_us[class_index], self._expected_us[class_index] = ratio, 1.0

    def ratio(self, class_index: int) -> float | None:
        """Return the run time of a class divided by its expected work; None if it is unknown."""
        expected_us = self._expected_us[class_index]
        return self._run_time_us[class_index] / expected_us if expected_us > 0 else None

    def can_meet_objective(self, in_flight: InFlightRequest, now_us: int) -> bool:
        """Return whether a request that starts now would likely end within its latency objective."""
        request, objective_us = in_flight.request, in_flight.objective_us
        class_index = request.class_index
        estimate_us = (
            SAFETY_FACTOR
            * self._run_time_us[class_index]
            * (request.expected_work_us or 1)
            / (self._expected_us[class_index] or 1)
        )
        limit_us = MAX_OBJECTIVE_FRACTION * (objective_us - in_flight.arrived_us)
        return now_us + min(estimate_us, limit_us) <= objective_us
