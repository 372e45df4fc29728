"""The scheduling lag of this process, which the core and drains take into account."""

HALF_LIFE_S = 2.0


class SchedulingLag:
    """The largest recent lag, which decays exponentially.

    On a dedicated core a timer is late by less than a millisecond. On a shared one it is late by all that
    others run meanwhile, and by the threads that wait for the interpreter lock. The steps of a drain must be
    that much earlier.
    """

    def __init__(self) -> None:
        self._peak_s = 0.0
        self._observed_s = 0.0  # when the peak was observed

    def observe(self, lag_s: float, now_s: float) -> None:
        """Record that something ran this long after it was due."""
        self._peak_s = max(lag_s, self.lag_s(now_s))
        self._observed_s = now_s

    def lag_s(self, now_s: float) -> float:
        """Return the present lag in seconds."""
        age_s = max(0.0, now_s - self._observed_s)
        decayed_s: float = self._peak_s * 0.5 ** (age_s / HALF_LIFE_S)
        return decayed_s
