"""Exponential backoff with jitter; free of I/O."""

from random import Random

MAX_GROWTH_FACTOR = 3.0  # each delay is drawn from the base up to this many times the previous delay
# a delay that would reach the cap is drawn again, from this fraction of the cap up to the cap
MIN_CAPPED_FRACTION = 0.5


class Backoff:
    """Delays with decorrelated jitter (M. Brooker, "Exponential Backoff And Jitter", 2015).

    Two nodes that failed at the same instant retry at different times after one delay, and the times move
    further apart with each subsequent delay.
    """

    def __init__(self, random: Random, base_s: float, cap_s: float) -> None:
        """Start at the base: the first delay is drawn from the base up to 1.5 times the base.

        No delay exceeds the cap; a cap below the base is raised to it.
        """
        self._random = random
        self._base_s = base_s
        self._cap_s = max(base_s, cap_s)
        self._previous_s = base_s / 2

    def next_s(self) -> float:
        """Return the delay before the next attempt, in seconds."""
        drawn_s = self._random.uniform(self._base_s, MAX_GROWTH_FACTOR * self._previous_s)
        self._previous_s = min(self._cap_s, drawn_s)
        if drawn_s < self._cap_s:
            return drawn_s
        # if all nodes waited for exactly the cap, their attempts would be in step again
        return self._random.uniform(MIN_CAPPED_FRACTION, 1.0) * self._cap_s

    def reset(self) -> None:
        """Start again at the base; called after a success."""
        self._previous_s = self._base_s / 2
