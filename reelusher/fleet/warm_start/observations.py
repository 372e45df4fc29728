"""Which members to ask for observations, and how to combine what they report. Free of I/O.

The subject of an observation is `run:CLASS` (the mean run time of a class divided by its mean expected work),
`call:below` (the mean duration of a downstream call in microseconds) or `away:WORKER` (1 if a worker is
unreachable, else 0).
"""

from collections.abc import Iterable, Sequence
from hashlib import blake2b
from math import isfinite

from reelusher.fleet.membership.messages import Observation

DONOR_COUNT = 3  # members whose observations are combined: two outvote a wrong one
# by kind: the age at which an observation has half the weight
HALF_LIFE_S = {"run": 120.0, "call": 30.0, "away": 10.0}
VALUE_BOUNDS = {"run": (1e-3, 1e9), "call": (1.0, 1e9), "away": (0.0, 1.0)}
MAX_HALF_LIVES = 4  # age in half-lives past which an observation has no weight
# Total weight of a subject's observations below which they are not used; an observation made just now has 1.
MIN_TOTAL_WEIGHT = 0.25
MAX_OBSERVATIONS = 512  # used of one donor; further ones are ignored
MAX_CLOCK_SKEW_S = 5.0  # by which an observation may be in the future


def select_donors(own: str, members: Iterable[str], count: int = DONOR_COUNT) -> list[str]:
    """Return the members to ask, by rendezvous hashing: nodes that start together ask different ones."""

    def rank(member: str) -> bytes:
        return blake2b(f"{own} {member}".encode(), digest_size=8).digest()

    return sorted(members, key=rank, reverse=True)[:count]


def weight(observation: Observation, now_s: float) -> float:
    """Return the weight of an observation by its age, from 0 to 1; 0 if it is not valid."""
    kind, _, _ = observation.subject.partition(":")
    half_life_s = HALF_LIFE_S.get(kind)
    if half_life_s is None or not isfinite(observation.value):
        return 0.0
    low, high = VALUE_BOUNDS[kind]
    age_s = now_s - observation.observed_s
    out_of_bounds = not low <= observation.value <= high
    if out_of_bounds or age_s < -MAX_CLOCK_SKEW_S or age_s > MAX_HALF_LIVES * half_life_s:
        return 0.0
    decayed: float = 0.5 ** (max(0.0, age_s) / half_life_s)
    return decayed


def weighted_median(values: Sequence[tuple[float, float]]) -> float:
    """Return the weighted median of (value, weight) pairs; the lower one if two qualify.

    Raises ValueError if there are no pairs.
    """
    half_weight, cumulative_weight = sum(weight for _, weight in values) / 2, 0.0
    for value, weight in sorted(values):
        cumulative_weight += weight
        if cumulative_weight >= half_weight:
            return value
    raise ValueError("no values")


def combine(reports: Iterable[Sequence[Observation]], now_s: float) -> dict[str, float]:
    """Return by subject the weighted median of the values that the donors report.

    Subjects whose total weight is below `MIN_TOTAL_WEIGHT` are left out.
    """
    weighted: dict[str, list[tuple[float, float]]] = {}
    for report in reports:
        oldest_first = sorted(report[:MAX_OBSERVATIONS], key=lambda observation: observation.observed_s)
        newest = {observation.subject: observation for observation in oldest_first}
        for subject, observation in newest.items():
            observation_weight = weight(observation, now_s)
            if observation_weight > 0:
                weighted.setdefault(subject, []).append((observation.value, observation_weight))
    return {
        subject: weighted_median(values)
        for subject, values in weighted.items()
        if sum(value_weight for _, value_weight in values) >= MIN_TOTAL_WEIGHT
    }
