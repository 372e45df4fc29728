"""What a tenant is entitled to."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Quota:
    """The weight and the limits of a tenant. Fractions are of the node's capacity; a limit of 0 is none."""

    weight: float = 1.0
    guarantee: float = 0.0  # fraction that it gets before others get more by their weight
    ceiling: float = 1.0  # fraction past which it gets nothing although cores are free; 1: none
    burst_us: int = 200_000  # work at its ceiling that it may take at once
    held: int = 0
    running: int = 0
    memory_kb: float = 0.0  # of held and running requests and remembered keys
    keys: int = 0
    class_weights: Mapping[int, float] = field(default_factory=dict)  # empty: the controller's order

    def __post_init__(self) -> None:
        """Reject values that define no order."""
        if not (0 < self.weight < math.inf and 0 <= self.guarantee <= 1 and 0 < self.ceiling <= 1):
            raise ValueError("weight must be above 0, guarantee from 0 to 1, ceiling above 0 and at most 1")
        if not all(0 < weight < math.inf for weight in self.class_weights.values()):
            raise ValueError("class weights must be above 0")
