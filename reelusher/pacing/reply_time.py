"""Estimator of reply times, and the time-out that is derived from them (RFC 6298); free of I/O."""

DEVIATION_WEIGHT = 1 / 4  # weight of the latest reply time in the mean deviation
MEAN_WEIGHT = 1 / 8  # weight of the latest reply time in the mean
TIMEOUT_DEVIATIONS = 4  # the time-out exceeds the mean by this many mean deviations


class ReplyTimeEstimator:
    """Smoothed mean and mean deviation of reply times."""

    def __init__(self, min_timeout_s: float, max_timeout_s: float) -> None:
        """Keep the time-out between these bounds."""
        self._min_timeout_s = min_timeout_s
        self._max_timeout_s = max_timeout_s
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self.has_samples = False

    def observe(self, reply_time_s: float) -> None:
        """Record the time between a request and its reply."""
        if not self.has_samples:
            self._mean_s, self._deviation_s = reply_time_s, reply_time_s / 2
            self.has_samples = True
            return
        self._deviation_s += (abs(reply_time_s - self._mean_s) - self._deviation_s) * DEVIATION_WEIGHT
        self._mean_s += (reply_time_s - self._mean_s) * MEAN_WEIGHT

    def timeout_s(self) -> float:
        """Return how many seconds to wait for a reply; the maximum while there are no samples."""
        if not self.has_samples:
            return self._max_timeout_s
        estimate_s = self._mean_s + TIMEOUT_DEVIATIONS * self._deviation_s
        return min(self._max_timeout_s, max(self._min_timeout_s, estimate_s))
