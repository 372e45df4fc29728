"""The limit on concurrent runs, which has a lower ceiling while the worker warms up."""

from reelusher.policy.settings import Settings

LIMIT_STEP = 1  # change of the limit in one period
CROWDED_RUNNABLE_PER_CORE = 1.5  # runnable requests per core above which the limit shrinks
# Ceiling on requests that run or wait for a call, as a fraction of the runnable requests that the cores
# sustain.
SAFE_RUNNABLE_FRACTION = 0.8


class ConcurrencyLimiter:
    """Grows the limit while cores are free and requests are held, shrinks it while cores are crowded."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.limit = float(settings.cores)
        self.started_us = -1

    def is_warming_up(self, now_us: int) -> bool:
        """Return whether the cores may still be cold."""
        return self.settings.cold_start and now_us - self.started_us < self.settings.warm_up_us

    def max_runnable(self, now_us: int) -> float:
        """Return how many runnable requests the cores sustain now.

        A cold worker is assumed to warm up as slowly as the settings allow.
        """
        settings = self.settings
        speed = 1.0
        if self.is_warming_up(now_us):
            elapsed_us = now_us - self.started_us
            speed = settings.initial_speed + (1 - settings.initial_speed) * elapsed_us / settings.warm_up_us
        return (1 + (settings.max_runnable_per_core - 1) * speed) * settings.cores

    def ceiling(self, now_us: int) -> float:
        """Return the largest number of requests that may run or wait for a call, whatever the limit."""
        return max(1.0, SAFE_RUNNABLE_FRACTION * self.max_runnable(now_us))

    def update(self, runnable: float, any_held: bool, now_us: int) -> None:
        """Adapt the limit to the number of runnable requests, which are those that need a core now."""
        cores = self.settings.cores
        if runnable < cores and any_held:
            self.limit = min(self.limit + LIMIT_STEP, self.ceiling(now_us))
        elif runnable > CROWDED_RUNNABLE_PER_CORE * cores:
            self.limit = max(self.limit - LIMIT_STEP, float(cores))
