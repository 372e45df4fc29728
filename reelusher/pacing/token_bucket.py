"""A token bucket, which limits a rate and allows bursts; free of I/O."""


class TokenBucket:
    """A bucket that starts full and refills at a rate, up to its capacity. It is not thread-safe."""

    def __init__(self, rate_per_s: float, capacity: float, now_s: float = 0.0) -> None:
        """Start full. `now_s`, here and in the methods, is the time of one monotonic clock in seconds."""
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = capacity
        self._refilled_s = now_s

    def available(self, now_s: float) -> float:
        """Return the number of available tokens; negative while more were taken than were available."""
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._tokens = min(self._capacity, self._tokens + elapsed_s * self._rate_per_s)
        self._refilled_s = max(now_s, self._refilled_s)
        return self._tokens

    def take(self, tokens: float) -> None:
        """Take tokens, even more than are available: refills then pay off the debt first."""
        self._tokens -= tokens

    def try_take(self, now_s: float) -> bool:
        """Take one token and return True, or return False if less than one is available."""
        if self.available(now_s) < 1:
            return False
        self._tokens -= 1
        return True
