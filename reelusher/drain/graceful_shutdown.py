"""Graceful shutdown of a node, from the signal that requests it to the end of the process."""

import time
from collections.abc import Callable, Collection
from typing import Protocol

from reelusher.drain.schedule import (
    ConnectionState,
    DrainObservation,
    DrainSchedule,
    QuietPeriod,
    make_schedule,
)

POLL_INTERVAL_S = 0.02  # time between two checks whether the drain may end
EXIT_POLL_INTERVAL_S = 0.005  # time between two checks whether all connections are closed
MIN_CHANGE_S = 0.02  # a newer schedule that ends earlier by less than this is not announced


class DrainableFrontend(Protocol):
    """A front end that can be shut down gracefully."""

    def drain(self, schedule: DrainSchedule) -> None:
        """Follow this schedule, which may be replaced by an earlier one."""

    def drain_observation(self) -> DrainObservation | None:
        """Return the latest observation of all connections."""

    def open_connections(self) -> int:
        """Return the number of open connections."""

    def remaining_work(self) -> ConnectionState:
        """Return the work that is left on all open connections together."""


class GracefulShutdown:
    """Drains the front ends and the core of a node."""

    def __init__(
        self,
        frontends: Collection[DrainableFrontend],
        drain_core: Callable[[float, float], None],
        lag_s: Callable[[], float],
    ) -> None:
        """Prepare a shutdown.

        `drain_core(time_left_s, elapsed_s)` notifies the core of the time left until its stop and of the time
        since the signal. It is called again if the scheduling lag, which `lag_s()` returns in seconds, turns
        out to be so much larger that the drain must end earlier.
        """
        self._frontends = frontends
        self._drain_core = drain_core
        self._lag_s = lag_s

    def run(self, signal_s: float, duration_s: float, grace_s: float) -> DrainSchedule:
        """Drain the node, and return the schedule that was followed.

        `signal_s` is the time of the signal by the monotonic clock. The drain must be over `duration_s`
        later, and callers may learn of it `grace_s` late.
        """
        schedule = make_schedule(signal_s, duration_s, grace_s, self._lag_s())
        quiet_period = QuietPeriod()
        self._announce(schedule)
        while (now := time.monotonic()) < schedule.exit_s:
            newer = make_schedule(signal_s, duration_s, grace_s, self._lag_s()).no_later_than(schedule)
            if newer.exit_s < schedule.exit_s - MIN_CHANGE_S:
                schedule = newer
                self._announce(schedule)
            observations = [frontend.drain_observation() for frontend in self._frontends]
            if now >= schedule.notify_s and quiet_period.is_over(observations, now, schedule):
                schedule = schedule.completed_at(now)
                self._drain_frontends(schedule)
                break
            time.sleep(max(0.0, min(POLL_INTERVAL_S, schedule.exit_s - now)))
        self._await_closed_connections(schedule)
        return schedule

    def _announce(self, schedule: DrainSchedule) -> None:
        now = time.monotonic()
        self._drain_core(schedule.controller_stop_s - now, now - schedule.signal_s)
        self._drain_frontends(schedule)

    def _drain_frontends(self, schedule: DrainSchedule) -> None:
        for frontend in self._frontends:
            frontend.drain(schedule)

    def _await_closed_connections(self, schedule: DrainSchedule) -> None:
        while time.monotonic() < schedule.exit_s:
            if not any(frontend.open_connections() for frontend in self._frontends):
                return
            time.sleep(EXIT_POLL_INTERVAL_S)
