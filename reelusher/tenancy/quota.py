"""The quota of a tenant: its weight, guarantee, ceiling and limits."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Quota:
    """The quota of a tenant. Fractions are of the cores of the node; a limit of 0 means no limit."""

    weight: float = 1.0  # its share of the capacity, relative to other tenants
    guarantee: float = 0.0  # fraction that it gets before capacity is shared by weight
    ceiling: float = 1.0  # fraction that it can't exceed even while cores are free; 1: no ceiling
    burst_us: int = 200_000  # burst: the work of this time at the rate of the ceiling may be taken at once
    held: int = 0  # limit of its held requests
    running: int = 0  # limit of its runs
    memory_kb: float = 0.0  # limit of the memory of its held and running requests and remembered keys
    keys: int = 0  # limit of its remembered idempotency keys
    class_weights: Mapping[int, float] = field(default_factory=dict)  # empty: the controller's order

    def __post_init__(self) -> None:
        """Raise `ValueError` for values that the scheduler can't use."""
        if not (0 < self.weight < math.inf and 0 <= self.guarantee <= 1 and 0 < self.ceiling <= 1):
            raise ValueError("weight must be above 0, guarantee from 0 to 1, ceiling above 0 and at most 1")
        if not all(0 < weight < math.inf for weight in self.class_weights.values()):
            raise ValueError("class weights must be above 0")
