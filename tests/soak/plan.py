"""The random choices of one run: faults of the rig, signals, configurations and clients that misbehave."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any

from reelusher.lab.fleet.plan import Plan, parse

NODES = ("n1", "n2")
SETTLE_S = 2.0  # at the start and the end of a run, without faults
RESTART_MARGIN_S = 1.5  # between the latest end of a restart and the next one
CLASSES: list[dict[str, Any]] = [
    {"name": "read", "share": 3, "work_ms": 8, "deadline_ms": 2000, "aim_ms": 500},
    {
        "name": "write",
        "share": 2,
        "work_ms": 15,
        "deadline_ms": 4000,
        "effect": "keyed",
        "window_ms": 20_000,
        "calls": True,
    },
    {
        "name": "view",
        "share": 1,
        "work_ms": 5,
        "deadline_ms": 600,
        "aim_ms": 300,
        "calls": True,
        "skip_worth": 0.5,
    },
]
LINKS = (("callers:a", "node:{}"), ("node:{}", "runtime.{}"), ("node:{}", "below"), ("node:{}", "list"))


class Step(StrEnum):
    """What happens to one node at one time, beside the faults of the rig."""

    RELOAD = "reload"  # SIGHUP with new settings
    BROKEN_RELOAD = "broken reload"  # SIGHUP with a file that can't be read
    MALFORMED = "malformed"  # a client sends bytes that are not a message
    HALF_REQUEST = "half request"  # a client sends half a message and waits
    SILENT = "silent"  # clients connect and send nothing
    HALF_CLOSED = "half-closed"  # a client shuts down its writing side before its answer
    CROWD = "crowd"  # as many clients connect as the node has descriptors


class AfterTerm(StrEnum):
    """The signal that follows SIGTERM during a drain."""

    NOTHING = "nothing"
    TERM = "TERM"
    HUP = "HUP"


@dataclass(frozen=True, slots=True)
class TimedStep:
    """A step, its node, and its time in seconds after the start of the load."""

    at_s: float
    step: Step
    node: str


@dataclass(frozen=True, slots=True)
class Soak:
    """Everything that is drawn for one run."""

    seed: int
    plan: Plan
    steps: tuple[TimedStep, ...]
    hups_before_term: int
    after_term: AfterTerm
    ignores_last_call: bool  # callers go on using their connections until they are closed


def draw(seed: int, seconds: float) -> Soak:
    """Return the run of a seed; `seconds` is the duration of its load."""
    random = Random(f"soak {seed}")
    stop_ms = random.choice((1500, 2500, 4000))
    faults = _restarts(random, seconds, stop_ms / 1000)
    faults += _node_faults(random, seconds, faults, stop_ms / 1000)
    faults += [_fault(random, seconds) for _ in range(random.randint(2, 5))]
    plan = parse(
        {
            "run": {"seconds": seconds, "rate": random.choice((20, 60, 120)), "seed": seed},
            "zones": [{"name": "a", "nodes": len(NODES), "callers": 6}],
            "classes": CLASSES,
            "nodes": {"stop_ms": stop_ms},
            "callers": {"tries": random.choice((2, 3, 5))},
            "faults": faults,
        }
    )
    kinds = random.sample(list(Step), random.randint(2, len(Step)))
    steps = [TimedStep(random.uniform(0.5, seconds - 1.0), kind, random.choice(NODES)) for kind in kinds]
    return Soak(
        seed,
        plan,
        tuple(sorted(steps, key=lambda step: step.at_s)),
        random.randint(0, 2),
        random.choice(list(AfterTerm)),
        random.random() < 0.5,
    )


def _restarts(random: Random, seconds: float, stop_s: float) -> list[dict[str, Any]]:
    """Return restarts of nodes that do not overlap."""
    restarts, at_s = [], random.uniform(1.0, 3.0)
    while at_s < seconds - SETTLE_S - stop_s:
        restarts.append({"kind": "restart", "of": f"node:{random.choice(NODES)}", "at_s": at_s})
        at_s += stop_s + RESTART_MARGIN_S + random.uniform(0.0, 4.0)
    return restarts


def _node_faults(
    random: Random, seconds: float, restarts: list[dict[str, Any]], stop_s: float
) -> list[dict[str, Any]]:
    """Return a pause or a kill of a node that is not drained at that time, or none."""
    at_s, duration_s = random.uniform(1.0, seconds - SETTLE_S - 2.0), random.uniform(0.2, 2.0)
    drained = {
        restart["of"]
        for restart in restarts
        if at_s - stop_s - RESTART_MARGIN_S < restart["at_s"] < at_s + duration_s + RESTART_MARGIN_S
    }
    free = [f"node:{name}" for name in NODES if f"node:{name}" not in drained]
    if not free or random.random() < 0.3:
        return []
    kind = random.choice(("stop", "kill"))
    return [{"kind": kind, "of": random.choice(free), "at_s": at_s, "for_s": duration_s}]


def _fault(random: Random, seconds: float) -> dict[str, Any]:
    """Return one fault of a link or of a stand-in."""
    at_s = random.uniform(0.5, max(1.0, seconds - SETTLE_S - 2.0))
    span = {"at_s": at_s, "for_s": random.uniform(0.2, min(4.0, seconds - SETTLE_S - at_s + 0.2))}
    kind = random.choice(("cut", "silent", "reset", "delay", "outage", "late", "slow", "fall", "surge"))
    match kind:
        case "outage":
            return {"kind": kind, "of": "list", **span}
        case "late":
            return {"kind": kind, "of": "list", "ms": random.choice((300, 2000)), **span}
        case "slow":
            of = random.choice(("below", "runtime.n1", "runtime.n2"))
            return {"kind": kind, "of": of, "part": random.choice((0.05, 0.3)), **span}
        case "fall":
            return {"kind": kind, "of": "below", **span}
        case "surge":
            return {"kind": kind, "part": random.choice((3.0, 8.0)), **span}
    node, (of, to) = random.choice(NODES), random.choice(LINKS)
    link = {"kind": kind, "of": of.format(node), "to": to.format(node), **span}
    return link | ({"ms": random.choice((20, 200))} if kind == "delay" else {})
