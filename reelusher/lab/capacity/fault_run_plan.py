"""The plan of a run with injected faults, with the zones and time limits that its parts share."""

from dataclasses import dataclass

ZONES = ("a", "b", "c")
START_TIMEOUT_S = 60.0  # in which a process must start, or end
SETTLE_TIMEOUT_S = 60.0  # in which all nodes must show the same rows once they are all up


@dataclass(slots=True, frozen=True)
class FaultRunPlan:
    """The size, load and faults of a run."""

    nodes: int = 24
    kills: int = 200
    simulated_members: int = 0
    member_process_count: int = 1  # processes that run the simulated members
    tenants: int = 40
    requests_per_s: float = 100.0  # in total
    changes_per_s: float = 8.0  # in total, if each were answered at once
    # no fault is begun while this many nodes, or a quarter of all if that is less, are away
    max_away: int = 3
    replicated: bool = True
    seed: int = 1
