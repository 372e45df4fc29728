"""Builds a node's membership in a fleet and the warm start, in which cold members learn from warm ones."""

import time
from collections.abc import Callable

from reelusher.assembly.parts import NodeParts
from reelusher.config import Config
from reelusher.config.operator.fleet import Fleet
from reelusher.fleet.membership.messages import Observation, ObservationsReply
from reelusher.fleet.membership.service import Membership
from reelusher.fleet.warm_start.client import WarmStartClient

MIN_SHARING_UPTIME_S = 5.0  # a node that has run for less time has observed too little to share
# subjects of observations
RUN_TIME_PREFIX = "run:"  # prefix for the run time of a class, as a ratio of the expected work
DOWNSTREAM_LATENCY = "call:below"  # mean duration of a downstream call in microseconds
WORKER_DOWN_PREFIX = "away:"  # prefix for whether a worker is unreachable, 1 or 0


def build(parts: NodeParts, config: Config, fleet: Fleet, is_draining: Callable[[], bool]) -> None:
    """Add the membership in the fleet and the client of the warm start."""
    observations = ObservationExchange(parts, config, is_draining)
    parts.fleet = Membership(fleet, config.name, parts.random_for("fleet"), parts.counters)
    parts.fleet.observations = observations.reply
    parts.warm_start = WarmStartClient(
        parts.fleet, parts.random_for("learning"), parts.counters, observations.apply
    )


class ObservationExchange:
    """Shares the observations of this node with cold members, and applies those of warm members."""

    def __init__(self, parts: NodeParts, config: Config, is_draining: Callable[[], bool]) -> None:
        self._parts, self._config, self._is_draining = parts, config, is_draining

    def reply(self) -> ObservationsReply:
        """Return this node's observations; none while it is cold itself or draining.

        It waits for the event loop, so it must not be called on the event loop's thread.
        """
        min_uptime_s = max(MIN_SHARING_UPTIME_S, self._config.settings.warm_up_us / 1e6)
        if time.monotonic() - self._parts.started_s < min_uptime_s or self._is_draining():
            return ObservationsReply(False, [])
        core = self._parts.core
        observed = {**core.run_on_loop(core.observed_times), **self._parts.worker_pool.observations()}
        return ObservationsReply(
            True, [Observation(subject, value, seen_s) for subject, (value, seen_s) in observed.items()]
        )

    def apply(self, observations: dict[str, float]) -> None:
        """Apply the observations of warm members, which are given by subject, to this node.

        It waits for the event loop, so it must not be called on the event loop's thread.
        """
        core, worker_pool = self._parts.core, self._parts.worker_pool
        run_times = {
            subject.removeprefix(RUN_TIME_PREFIX): value
            for subject, value in observations.items()
            if subject.startswith(RUN_TIME_PREFIX)
        }
        downstream_latency = observations.get(DOWNSTREAM_LATENCY, 0.0)
        core.run_on_loop(lambda: core.apply_warm_start(run_times, downstream_latency))
        for subject, value in observations.items():
            if subject.startswith(WORKER_DOWN_PREFIX) and value > 0.5:
                worker_pool.suspect(subject.removeprefix(WORKER_DOWN_PREFIX))
