"""Exponential backoff with jitter; free of I/O."""

from random import Random

GROWTH = 3.0  # each delay is drawn from the base up to this many times the previous one
MIN_CAPPED_FRACTION = 0.5  # of the cap, from which delays are drawn that would have passed it


class Backoff:
    """Delays with decorrelated jitter (M. Brooker, "Exponential Backoff And Jitter", 2015).

    Two nodes that failed at the same instant are apart after one delay, and further apart after each other.
    """

    def __init__(self, random: Random, base_s: float, cap_s: float) -> None:
        """The first delay is drawn from the base to 1.5 times the base; none exceeds the cap."""
        self._random = random
        self._base_s = base_s
        self._cap_s = max(base_s, cap_s)
        self._previous_s = base_s / 2

    def next_s(self) -> float:
        """Return the delay before the next attempt."""
        drawn_s = self._random.uniform(self._base_s, GROWTH * self._previous_s)
        self._previous_s = min(self._cap_s, drawn_s)
        if drawn_s < self._cap_s:
            return drawn_s
        # delays that all equal the cap would be in step again
        return self._random.uniform(MIN_CAPPED_FRACTION, 1.0) * self._cap_s

    def reset(self) -> None:
        """Start again at the base, after a success."""
        self._previous_s = self._base_s / 2
