"""Schedule of a node's reports to the service registry; free of I/O. docs/pacing.md gives the reasons.

The registry drops a node that has not reported for a fixed time. Each report is made as late as possible
while leaving time for the attempts that the recent loss rate requires. `now_s` is the time of a monotonic
clock, in seconds.
"""

from enum import Enum
from math import ceil, inf, log
from random import Random

from reelusher.core.scheduling_lag import SchedulingLag
from reelusher.pacing.backoff import Backoff
from reelusher.pacing.reply_time import ReplyTimeEstimator
from reelusher.pacing.retry_budget import RetryBudget

REGISTRATION_TTL_S = 3.0  # the registry drops a node this long after its last report, as the protocol states
MIN_PERIOD_S, MAX_PERIOD_S = 0.8, 1.9  # bounds of the time between two reports
MAX_FIRST_DELAY_S = 0.25  # maximum delay of the first report; the delay spreads nodes that start together
JITTER_FRACTION = 0.1  # maximum fraction by which a period is shortened
MIN_FIRST_PERIOD_FRACTION = 0.3  # minimum part of the first period; it spreads nodes that return together

EXPIRY_RISK = 1e-6  # accepted probability that all attempts before the registration expires are lost
INITIAL_LOSS_RATE, MIN_LOSS_RATE, MAX_LOSS_RATE = 0.1, 0.01, 0.5
LOSS_RATE_WEIGHT = 1 / 16  # weight of the latest attempt in the loss rate
MIN_TIMEOUT_S, MAX_TIMEOUT_S = 0.12, 1.0  # bounds of the time-out for a reply
SLOW_TIMEOUT_S = 0.25  # from this time-out on the registry counts as overloaded: retries add to its load

MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 0.15  # bounds of the delay before an immediate retry
MEAN_RETRY_DELAY_S = (MIN_RETRY_DELAY_S + MAX_RETRY_DELAY_S) / 2
MAX_RETRIES, RETRIES_PER_SUCCESS = 16.0, 1.0  # budget of immediate retries, and what a success earns
BACKOFF_BASE_S, BACKOFF_CAP_S = 0.25, 1.8  # delays during an outage, in which the registry drops no node
MAX_RETRY_AFTER_S = 60.0  # a longer Retry-After is shortened to this
# minimum time from sending the last successful report to reporting a change, and the maximum jitter
MIN_CHANGE_DELAY_S, CHANGE_JITTER_S = 0.2, 0.1


class ReportFailure(Enum):
    """Why a report failed."""

    NO_REPLY = "silence"  # no reply in time, or a malformed one: a message was lost, or the registry hangs
    UNAVAILABLE = "away"  # the connection was refused or broken, or the reply was an error


class ReportSchedule:
    """Determines when the next report is due, from the outcomes of earlier ones."""

    def __init__(self, random: Random, ttl_s: float = REGISTRATION_TTL_S) -> None:
        """`random` spreads the reports of nodes; the registry drops a node `ttl_s` after its last report."""
        self._random = random
        self._ttl_s = ttl_s
        self._reply_time = ReplyTimeEstimator(MIN_TIMEOUT_S, MAX_TIMEOUT_S)
        self.loss_rate = INITIAL_LOSS_RATE
        self._loss_rate_at_success = INITIAL_LOSS_RATE
        self._last_success_s = -inf  # when the last successful report was sent
        self._lag = SchedulingLag()  # scheduling lag of the thread that reports
        self._backoff = Backoff(random, BACKOFF_BASE_S, BACKOFF_CAP_S)
        self._retry_budget = RetryBudget(MAX_RETRIES, RETRIES_PER_SUCCESS)
        self._retries_left = self._max_retries()  # immediate retries until the registry counts as unavailable

    def first_delay_s(self) -> float:
        """Return the delay of the first report, in seconds."""
        return self._random.uniform(0.0, MAX_FIRST_DELAY_S)

    def timeout_s(self) -> float:
        """Return how many seconds to wait for a reply."""
        return self._reply_time.timeout_s()

    def is_slow(self) -> bool:
        """Return whether the registry is so slow that retries would only add to its load."""
        return self._reply_time.has_samples and self.timeout_s() >= SLOW_TIMEOUT_S

    def observe_lag(self, lag_s: float, now_s: float) -> None:
        """Record how many seconds late a report is made, since a starved node must report earlier."""
        self._lag.observe(max(0.0, lag_s), now_s)

    def period_s(self, now_s: float) -> float:
        """Return the longest period, in seconds, that leaves time for the attempts that may be needed."""
        timeout_s = self.timeout_s() if self._reply_time.has_samples else MIN_TIMEOUT_S
        attempts_s = self._attempts_needed() * (timeout_s + MEAN_RETRY_DELAY_S)
        spare_s = self._ttl_s - attempts_s - 2 * self._lag.lag_s(now_s)
        return min(MAX_PERIOD_S, max(MIN_PERIOD_S, spare_s))

    def on_success(self, sent_s: float, now_s: float) -> float:
        """Record a successful report; return the delay before the next one, in seconds."""
        self._reply_time.observe(now_s - sent_s)
        self.loss_rate -= self.loss_rate * LOSS_RATE_WEIGHT
        self._loss_rate_at_success = self.loss_rate
        has_returned = now_s - self._last_success_s > self._ttl_s  # the first report counts as a return too
        self._last_success_s = sent_s
        self._backoff.reset()
        self._retry_budget.record_success()
        self._retries_left = self._max_retries()
        min_fraction = MIN_FIRST_PERIOD_FRACTION if has_returned else 1 - JITTER_FRACTION
        due_s = sent_s + self._random.uniform(min_fraction, 1.0) * self.period_s(now_s)
        return max(0.0, due_s - now_s)

    def on_failure(self, failure: ReportFailure, now_s: float, retry_after_s: float = 0.0) -> float:
        """Record a failed report; return the delay before the next attempt, in seconds.

        `retry_after_s` is the Retry-After of the registry, or 0 if it sent none. It is followed even if the
        registry drops the node meanwhile.
        """
        if failure is ReportFailure.NO_REPLY:
            self.loss_rate += (1.0 - self.loss_rate) * LOSS_RATE_WEIGHT
        if retry_after_s > 0:
            return self._jittered_retry_after_s(min(retry_after_s, MAX_RETRY_AFTER_S))
        if failure is ReportFailure.NO_REPLY and self._may_retry(now_s):
            self._retries_left -= 1
            return self._random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self.loss_rate = self._loss_rate_at_success  # an outage says nothing about the loss rate
        return self._backoff.next_s()

    def change_delay_s(self, now_s: float) -> float:
        """Return the delay before a change is reported: short, but flapping must not flood the registry."""
        earliest_s = self._last_success_s + MIN_CHANGE_DELAY_S
        return max(0.0, earliest_s - now_s) + self._random.uniform(0.0, CHANGE_JITTER_S)

    def _may_retry(self, now_s: float) -> bool:
        """Return whether to retry at once, and spend one retry of the budget."""
        registered = now_s - self._last_success_s < self._ttl_s
        if not registered or self.is_slow() or self._retries_left <= 0:
            return False
        return self._retry_budget.try_acquire()

    def _jittered_retry_after_s(self, retry_after_s: float) -> float:
        return retry_after_s + self._random.uniform(0.0, max(MAX_FIRST_DELAY_S, retry_after_s / 4))

    def _max_retries(self) -> int:
        return 2 * self._attempts_needed()  # twice the attempts needed, since losses come in bursts

    def _attempts_needed(self) -> int:
        """Return how many attempts keep the risk of losing all of them within `EXPIRY_RISK`.

        It is 1 while the registry is slow, since retries would add to its load.
        """
        if self.is_slow():
            return 1
        loss_rate = min(MAX_LOSS_RATE, max(MIN_LOSS_RATE, self.loss_rate))
        return ceil(log(EXPIRY_RISK) / log(loss_rate))
