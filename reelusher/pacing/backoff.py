"""Waits between tries at one place, free of I/O: jitter, a cap, and a budget of quick tries."""

from random import Random

GROWTH = 3.0  # a wait is drawn from the base up to this many times the one before


class Backoff:
    """Waits with decorrelated jitter (M. Brooker, "Exponential Backoff And Jitter", 2015).

    Each is drawn from the base up to `GROWTH` times the one before, and never passes the cap. Two nodes
    that failed at the same instant are apart after one wait, and the further the longer it lasts.
    """

    def __init__(self, random: Random, base_s: float, cap_s: float) -> None:
        """`base_s` and `cap_s` are seconds; the first wait is drawn from the base to 1.5 times the base."""
        self._random, self._base_s, self._cap_s = random, base_s, max(base_s, cap_s)
        self._last_s = base_s / 2

    def next_s(self) -> float:
        """Return the seconds to wait before the next try."""
        drawn = self._random.uniform(self._base_s, GROWTH * self._last_s)
        self._last_s = min(self._cap_s, drawn)
        # The cap is drawn under, not met: waits that all end at it would be in step again.
        return self._last_s if drawn < self._cap_s else self._random.uniform(0.5, 1.0) * self._cap_s

    def reset(self) -> None:
        """Begin again at the base: what was tried has worked."""
        self._last_s = self._base_s / 2


class RetryBudget:
    """A budget of tries at once: each success earns a part of one, and so many can be saved up.

    A place that fails all the time gets `most` quick tries, then what its successes pay for: none.
    """

    def __init__(self, most: float, earned: float) -> None:
        """`most` and `earned` (for each success) count tries."""
        self._most, self._earned, self._left = most, earned, most

    def record_success(self) -> None:
        """Note a success."""
        self._left = min(self._most, self._left + self._earned)

    def try_acquire(self) -> bool:
        """Spend one; False where none is left."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
