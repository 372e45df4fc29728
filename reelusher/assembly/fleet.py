"""Builds a node's membership of a fleet, and the warm start of cold members by warm ones."""

import time
from collections.abc import Callable

from reelusher.assembly.parts import NodeParts
from reelusher.config import Config
from reelusher.config.operator.fleet import Fleet
from reelusher.fleet.membership.messages import Observation, ObservationsReply
from reelusher.fleet.membership.service import Membership
from reelusher.fleet.warm_start.client import WarmStartClient

MIN_SHARING_UPTIME_S = 5.0  # a node that started later than that ago has observed too little to share
RUN_TIME = "run:"  # prefix of an observation: how long the runs of a class take
DOWNSTREAM_LATENCY = "call:below"  # an observation: how long downstream calls take
WORKER_DOWN = "away:"  # prefix of an observation: whether a worker is unreachable, 0 or 1


def build(parts: NodeParts, config: Config, fleet: Fleet, is_draining: Callable[[], bool]) -> None:
    """Add the membership of the fleet and the client of the warm start."""
    observations = ObservationExchange(parts, config, is_draining)
    parts.fleet = Membership(fleet, config.name, parts.random_for("fleet"), parts.counters)
    parts.fleet.observations = observations.reply
    parts.warm_start = WarmStartClient(
        parts.fleet, parts.random_for("learning"), parts.counters, observations.apply
    )


class ObservationExchange:
    """Shares what this node has observed with cold members, and starts with what warm members share."""

    def __init__(self, parts: NodeParts, config: Config, is_draining: Callable[[], bool]) -> None:
        self._parts, self._config, self._is_draining = parts, config, is_draining

    def reply(self) -> ObservationsReply:
        """Return this node's observations; none while it is cold itself, or draining."""
        min_uptime_s = max(MIN_SHARING_UPTIME_S, self._config.settings.warm_up_us / 1e6)
        if time.monotonic() - self._parts.started_s < min_uptime_s or self._is_draining():
            return ObservationsReply(False, [])
        core = self._parts.core
        observed = {**core.run_on_loop(core.observed_times), **self._parts.worker_pool.observations()}
        return ObservationsReply(
            True, [Observation(about, value, seen_s) for about, (value, seen_s) in observed.items()]
        )

    def apply(self, observations: dict[str, float]) -> None:
        """Start with the observations of warm members."""
        core, worker_pool = self._parts.core, self._parts.worker_pool
        run_times = {
            about.removeprefix(RUN_TIME): value
            for about, value in observations.items()
            if about.startswith(RUN_TIME)
        }
        downstream_latency = observations.get(DOWNSTREAM_LATENCY, 0.0)
        core.run_on_loop(lambda: core.apply_warm_start(run_times, downstream_latency))
        for about, value in observations.items():
            if about.startswith(WORKER_DOWN) and value > 0.5:
                worker_pool.suspect(about.removeprefix(WORKER_DOWN))
