"""When a node reports to the list again, free of I/O; the reasons are in docs/pacing.md.

An entry lapses when no report has counted for a stated time. A report is made as late as leaves room for the
tries that the losses seen of late ask for. All times are seconds; `now` is by a clock that only goes on.
"""

from enum import Enum
from math import ceil, inf, log
from random import Random

from reelusher.core.scheduling_lag import SchedulingLag
from reelusher.pacing.backoff import Backoff, RetryBudget

LAPSE_S = 3.0  # an entry comes off the list so long after its last report: the protocol's figure
LONGEST_S, SHORTEST_S = 1.9, 0.8  # bounds of the time between two reports
FIRST_S = 0.25  # the first report comes within this: nodes that start together are spread over it
SPREAD = 0.1  # part of the time between two reports by which it is drawn shorter
RISK = 1e-6  # of all tries in the room before a lapse being lost
PRIOR_LOSS, LEAST_LOSS, MOST_LOSS = 0.1, 0.01, 0.5
LOSS_WEIGHT = 1 / 16  # of the newest try in the estimate of losses
TIMEOUT_S, LONGEST_TIMEOUT_S = 0.12, 1.0  # bounds of the wait for an answer
SLOW_S = 0.25  # a list whose answers are waited for so long has too much to do: tries would add to it
QUICK_S = 0.05, 0.15  # between a lost report and the next try while the entry can be saved
AWAY_BASE_S, AWAY_CAP_S = 0.25, 1.8  # between tries at a list that is away, where no entry lapses
QUICK_MOST, QUICK_EARNED = 16.0, 1.0  # quick tries saved up at most, and earned by each answered report
ADVICE_MOST_S = 60.0  # advice to come back later than this is taken as this
CHANGE_S, CHANGE_SPREAD_S = 0.2, 0.1  # a change is reported so long after the last report at the earliest


class Loss(Enum):
    """Why a report did not count."""

    SILENCE = "silence"  # no answer in time, or one that can't be read: lost on the way, or the list hangs
    AWAY = "away"  # refused or broken at once, or answered with an error: the list is in trouble


class ReportSchedule:
    """Says when the next report is due, from how those before it went."""

    def __init__(self, random: Random, lapse_s: float = LAPSE_S) -> None:
        self._random, self._lapse_s = random, lapse_s
        self._mean_s = self._off_s = 0.0  # of the time to an answer, and its mean deviation (RFC 6298)
        self._measured = False
        self.loss = PRIOR_LOSS  # part of the tries that get no answer
        self._loss_then = PRIOR_LOSS  # as the last report counted
        self._counted_s = -inf  # when the last report that counted was sent
        self._pace = SchedulingLag()  # of whoever makes the reports
        self._away = Backoff(random, AWAY_BASE_S, AWAY_CAP_S)
        self._budget = RetryBudget(QUICK_MOST, QUICK_EARNED)
        self._quick = 2 * self._tries()  # left before the list counts as away; losses come in streaks

    def first_s(self) -> float:
        """Return the seconds until the first report."""
        return self._random.uniform(0.0, FIRST_S)

    def timeout_s(self) -> float:
        """Return how long to wait for an answer: the usual time and four deviations (RFC 6298)."""
        if not self._measured:
            return LONGEST_TIMEOUT_S
        return min(LONGEST_TIMEOUT_S, max(TIMEOUT_S, self._mean_s + 4 * self._off_s))

    def slow(self) -> bool:
        """Tell whether the list takes so long that further tries would only add to its load."""
        return self._measured and self.timeout_s() >= SLOW_S

    def _tries(self) -> int:
        """Return the tries that leave a risk of `RISK` at the losses seen of late."""
        return 1 if self.slow() else ceil(log(RISK) / log(min(MOST_LOSS, max(LEAST_LOSS, self.loss))))

    def woke(self, late_s: float, now: float) -> None:
        """Note that a report is made so long after it was due: a starved node must report sooner."""
        self._pace.observe(max(0.0, late_s), now)

    def period_s(self, now: float) -> float:
        """Return the longest time between two reports that leaves room for the tries it may need."""
        timeout_s = self.timeout_s() if self._measured else TIMEOUT_S
        room_s = self._tries() * (timeout_s + sum(QUICK_S) / 2)
        return min(LONGEST_S, max(SHORTEST_S, self._lapse_s - room_s - 2 * self._pace.lag_s(now)))

    def answered(self, sent_s: float, now: float) -> float:
        """Note that a report counted; return the seconds until the next."""
        took_s, first = now - sent_s, self._counted_s == -inf
        if self._measured:
            self._off_s += (abs(took_s - self._mean_s) - self._off_s) / 4
            self._mean_s += (took_s - self._mean_s) / 8
        else:
            self._mean_s, self._off_s, self._measured = took_s, took_s / 2, True
        self.loss -= self.loss * LOSS_WEIGHT
        self._loss_then = self.loss
        back = first or now - self._counted_s > self._lapse_s
        self._counted_s = sent_s
        self._away.reset()
        self._budget.record_success()
        self._quick = 2 * self._tries()
        # The phases of nodes that began together, or came back together, are drawn anew over a whole period.
        least = 0.3 if back else 1 - SPREAD
        return max(0.0, sent_s + self._random.uniform(least, 1.0) * self.period_s(now) - now)

    def lost(self, why: Loss, now: float, advised_s: float = 0.0) -> float:
        """Note that a report did not count; return the seconds until the next try.

        `advised_s`: the list has said when to come back; it is heeded whatever becomes of the entry.
        """
        if why is Loss.SILENCE:
            self.loss += (1.0 - self.loss) * LOSS_WEIGHT
        if advised_s > 0:
            advised_s = min(advised_s, ADVICE_MOST_S)
            return advised_s + self._random.uniform(0.0, max(FIRST_S, advised_s / 4))
        saves = now - self._counted_s < self._lapse_s and not self.slow()
        if why is Loss.SILENCE and saves and self._quick > 0 and self._budget.try_acquire():
            self._quick -= 1
            return self._random.uniform(*QUICK_S)
        self.loss = self._loss_then  # more than losses explain: an outage, which says nothing of them
        return self._away.next_s()

    def changed(self, now: float) -> float:
        """Return the seconds until a change is reported: soon, but no flapping state makes a flood."""
        return max(0.0, self._counted_s + CHANGE_S - now) + self._random.uniform(0.0, CHANGE_SPREAD_S)
