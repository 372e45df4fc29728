"""An estimator of reply times and the time-out that follows from it (RFC 6298); free of I/O."""

DEVIATION_WEIGHT = 1 / 4
MEAN_WEIGHT = 1 / 8
TIMEOUT_DEVIATIONS = 4


class ReplyTimeEstimator:
    """Smoothed mean and mean deviation of reply times."""

    def __init__(self, min_timeout_s: float, max_timeout_s: float) -> None:
        """The bounds are those of the time-out."""
        self._min_timeout_s = min_timeout_s
        self._max_timeout_s = max_timeout_s
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self.has_samples = False

    def observe(self, reply_time_s: float) -> None:
        """Take the time of a reply."""
        if not self.has_samples:
            self._mean_s, self._deviation_s = reply_time_s, reply_time_s / 2
            self.has_samples = True
            return
        self._deviation_s += (abs(reply_time_s - self._mean_s) - self._deviation_s) * DEVIATION_WEIGHT
        self._mean_s += (reply_time_s - self._mean_s) * MEAN_WEIGHT

    def timeout_s(self) -> float:
        """Return how long to wait for a reply: the maximum while there are no samples."""
        if not self.has_samples:
            return self._max_timeout_s
        usual_s = self._mean_s + TIMEOUT_DEVIATIONS * self._deviation_s
        return min(self._max_timeout_s, max(self._min_timeout_s, usual_s))
