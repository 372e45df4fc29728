"""Facts that nodes tell each other, what they are trusted for, and whom to ask; free of I/O."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b
from math import isfinite

from reelusher.fleet.membership.messages import Observation

DONORS = 3  # that a fresh node asks: a wrong one is outvoted by two
HALF_S = {"run": 120.0, "call": 30.0, "away": 10.0}  # a fact counts half after so long: how soon it changes
OLDEST = 4  # half lives after which a fact tells nothing
LEAST_TRUST = 0.25  # of all donors together, in donors that saw it just now
BOUNDS = {"run": (1e-3, 1e9), "call": (1.0, 1e9), "away": (0.0, 1.0)}  # what a value may be
MOST_FACTS = 512  # that a donor tells
AHEAD_S = 5.0  # a fact from further in the future is none: clocks differ by less


def donors(own: str, members: Iterable[str], count: int = DONORS) -> list[str]:
    """Return whom a node asks, by rendezvous hashing: many that start together ask different ones."""

    def rank(member: str) -> bytes:
        return blake2b(f"{own} {member}".encode(), digest_size=8).digest()

    return sorted(members, key=rank, reverse=True)[:count]


def trust(fact: Observation, now_s: float) -> float:
    """Return what a fact counts, from 0 to 1; the kind is the part of its name before the colon."""
    kind, _, _ = fact.subject.partition(":")
    half_s = HALF_S.get(kind)
    if half_s is None or not isfinite(fact.value):
        return 0.0
    low, high = BOUNDS[kind]
    age_s = now_s - fact.observed_s
    if not low <= fact.value <= high or age_s < -AHEAD_S or age_s > OLDEST * half_s:
        return 0.0
    made: float = 0.5 ** (max(0.0, age_s) / half_s)
    return made


def median(values: Sequence[tuple[float, float]]) -> float:
    """Return the weighted median of (value, weight); of two that weigh the same, the lower."""
    half, sum_ = sum(weight for _, weight in values) / 2, 0.0
    for value, weight in sorted(values):
        sum_ += weight
        if sum_ >= half:
            return value
    raise ValueError("no values")


def weighed(told: Iterable[Sequence[Observation]], now_s: float) -> dict[str, float]:
    """Return what several donors together are believed, by what it is about."""
    found: dict[str, list[tuple[float, float]]] = {}
    for facts in told:
        newest = {fact.subject: fact for fact in sorted(facts[:MOST_FACTS], key=lambda fact: fact.observed_s)}
        for about, fact in newest.items():
            weight = trust(fact, now_s)
            if weight > 0:
                found.setdefault(about, []).append((fact.value, weight))
    return {
        about: median(values)
        for about, values in found.items()
        if sum(weight for _, weight in values) >= LEAST_TRUST
    }
