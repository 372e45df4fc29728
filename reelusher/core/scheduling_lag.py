"""The scheduling lag of a thread: how late it runs after it was due."""

HALF_LIFE_S = 2.0  # an observed lag counts half after this time


class SchedulingLag:
    """The largest recent lag, decaying exponentially.

    On a dedicated core a timer is late by less than a millisecond. On a shared core it is also delayed by
    other processes and by threads that compete for the interpreter lock. The steps of a drain are scheduled
    earlier by this lag.
    """

    def __init__(self) -> None:
        self._peak_s = 0.0
        self._observed_s = 0.0  # when the peak was last updated

    def observe(self, lag_s: float, now_s: float) -> None:
        """Record a lag, the time from when an action was due until it ran."""
        self._peak_s = max(lag_s, self.lag_s(now_s))
        self._observed_s = now_s

    def lag_s(self, now_s: float) -> float:
        """Return the current, decayed lag in seconds."""
        age_s = max(0.0, now_s - self._observed_s)
        decayed_s: float = self._peak_s * 0.5 ** (age_s / HALF_LIFE_S)
        return decayed_s
