"""A budget of immediate retries; free of I/O."""


class RetryBudget:
    """A budget of immediate retries: each success earns a fraction of one, up to a maximum.

    With a target that always fails, there are `max_retries`, and then as many as its successes earn: none.
    """

    def __init__(self, max_retries: float, earned_per_success: float) -> None:
        """Start with the maximum."""
        self._max_retries = max_retries
        self._earned_per_success = earned_per_success
        self._retries = max_retries

    def record_success(self) -> None:
        """Earn the fraction of a success."""
        self._retries = min(self._max_retries, self._retries + self._earned_per_success)

    def try_acquire(self) -> bool:
        """Spend one retry and return True, or return False if there is none."""
        if self._retries < 1:
            return False
        self._retries -= 1
        return True
