"""How long runs take: a mean by class, scaled by the expected work of each request."""

from reelusher.policy.events import Request
from reelusher.policy.in_flight import InFlightRequest

NEWEST_WEIGHT = 0.1  # of the newest run in the mean of its class
SAFETY_FACTOR = 1.3  # times the mean that a run is reckoned to take: half of all runs take longer than it
MAX_OBJECTIVE_FRACTION = (
    0.5  # of the objective that the estimate may claim, so a slow spell locks no class out
)


class RunTimeEstimator:
    """Mean run time and mean expected work of each class, in microseconds."""

    def __init__(self) -> None:
        self._run_time_us: list[float] = []  # by class
        self._expected_us: list[float] = []  # of the same runs; 0: none was seen

    def set_class_count(self, count: int) -> None:
        """Make room for new classes; those known keep their means."""
        unknown = [0.0] * (count - len(self._run_time_us))
        self._run_time_us += unknown
        self._expected_us += unknown

    def observe(self, request: Request, duration_us: int) -> None:
        """Take a run that succeeded into account."""
        number = request.class_index
        weight = NEWEST_WEIGHT if self._expected_us[number] else 1.0
        expected_us = request.expected_work_us or 1
        self._run_time_us[number] += weight * (duration_us - self._run_time_us[number])
        self._expected_us[number] += weight * (expected_us - self._expected_us[number])

    def start_with(self, ratios: dict[int, float]) -> None:
        """Use estimates of other workers, by class, until a run is seen here.

        They count for an expected work of 1 us, so that the first run outweighs them.
        """
        for number, ratio in ratios.items():
            if not self._expected_us[number]:
                self._run_time_us[number], self._expected_us[number] = ratio, 1.0

    def ratio(self, class_index: int) -> float | None:
        """Return the run time of a class over its expected work; None where it is unknown."""
        expected_us = self._expected_us[class_index]
        return self._run_time_us[class_index] / expected_us if expected_us > 0 else None

    def can_meet_objective(self, in_flight: InFlightRequest, now_us: int) -> bool:
        """Return whether a request that starts now would likely end within its latency objective."""
        request, objective_us = in_flight.request, in_flight.objective_us
        number = request.class_index
        estimate_us = (
            SAFETY_FACTOR
            * self._run_time_us[number]
            * (request.expected_work_us or 1)
            / (self._expected_us[number] or 1)
        )
        limit_us = MAX_OBJECTIVE_FRACTION * (objective_us - in_flight.arrived_us)
        return now_us + min(estimate_us, limit_us) <= objective_us
