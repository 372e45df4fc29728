"""A budget of immediate retries; free of I/O."""


class RetryBudget:
    """A budget of immediate retries: each success earns some, up to a maximum.

    A target that always fails is retried immediately `max_retries` times and then no more, since only
    successes earn further retries.
    """

    def __init__(self, max_retries: float, earned_per_success: float) -> None:
        """Start with the maximum. `earned_per_success` may be a fraction of a retry."""
        self._max_retries = max_retries
        self._earned_per_success = earned_per_success
        self._retries = max_retries

    def record_success(self) -> None:
        """Add what a success earns."""
        self._retries = min(self._max_retries, self._retries + self._earned_per_success)

    def try_acquire(self) -> bool:
        """Spend one retry and return True, or return False if less than one is left."""
        if self._retries < 1:
            return False
        self._retries -= 1
        return True
