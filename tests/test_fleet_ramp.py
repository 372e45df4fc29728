"""The ramp holds for the fleet: what all processes send together to a cold server stays within its budget.

N is what the settings allow it then. Beyond that 2 sqrt(N) + 2 are put down to chance, in the mean of any
window of the settings' length: `fall_us` for a node, `calls_over_us` for a service below.
"""

from collections.abc import Callable, Sequence
from math import inf, sqrt
from pathlib import Path
from typing import Any

import pytest
from helpers import SAFE, select_actions, started_controller

from reelusher.lab.fleet import model
from reelusher.lab.fleet.account import Account, less, windows
from reelusher.lab.fleet.plan import parse
from reelusher.lab.fleet.rig import play
from reelusher.policy.actions import AdvertiseCapacity
from reelusher.policy.events import Event, Gauges, Request, Tick
from reelusher.policy.settings import CapacityHint

COLD_FROM, COLD_S, CORES, TIP, FALL_S = 0.3, 12.0, 2, 6.0, 2.0
PLAN: dict[str, Any] = {
    "run": {"seconds": 6, "rate": 400, "seed": 3},
    "zones": [{"name": "a", "nodes": 12}, {"name": "b", "nodes": 12}],
    "classes": [
        {"name": "look", "share": 0.7, "work_ms": 150, "calls": True, "skip_worth": 0.6},
        {"name": "book", "share": 0.3, "work_ms": 150, "worth": 4, "effect": "keyed", "calls": True},
    ],
    "nodes": {"cores": CORES, "starts_cold": True, "cold_from": COLD_FROM, "cold_s": COLD_S},
    "below": {"slots": 24, "service_ms": 40, "capacity": 36, "most": 400, "over_s": 2.0, "starts_cold": True},
    "callers": {"heeds": 1.0},
    "faults": [{"kind": "kill", "of": "part:0.5", "at_s": 2.0, "for_s": 0.3}],
}


def with_chance(budget: float) -> float:
    return budget + 2 * sqrt(budget) + 2


def crowd(up_s: float) -> float:
    """Return what the settings allow on a node's cores so long after its start."""
    speed = min(1.0, COLD_FROM + (1 - COLD_FROM) * up_s / COLD_S)
    return CORES * (1 + (TIP - 1) * speed)


def test_windows_are_means_over_every_stretch_of_their_length() -> None:
    spans = [(0.0, 0), (1.0, 10), (2.0, 0), (4.0, 0)]
    means = dict(windows(spans, 1.0, 0.5))
    assert means == {0.0: 0.0, 0.5: 5.0, 1.0: 10.0, 1.5: 5.0, 2.0: 0.0, 2.5: 0.0, 3.0: 0.0}


def test_what_a_node_held_in_slots_without_a_core_is_taken_off_by_their_part() -> None:
    spans = [(0.0, 4), (2.0, 8), (4.0, 0)]
    assert less(spans, []) == [(0.0, 4), (2.0, 8), (4.0, 0)]
    kept = less(spans, [(1.0, 3.0, 0.25), (2.5, 2.75, 1.0), (3.9, 9.0, 0.5)])
    assert dict(kept) == {0.0: 4, 1.0: 3, 2.0: 6, 2.5: 0, 2.75: 6, 3.0: 8, 3.9: 4, 4.0: 0}
    assert dict(windows(kept, 1.0, 1.0)) == pytest.approx({0.0: 4.0, 1.0: 3.0, 2.0: 4.5, 3.0: 7.6})


def test_a_node_that_the_machine_gave_no_core_is_noted_with_the_part_of_that_time() -> None:
    account = Account(parse(PLAN))
    account.note_coreless("n1", 10.0, 10.1, 0.025)
    account.note_coreless("n1", 10.1, 10.2, 0.0)
    account.note_coreless("n1", 10.2, 10.3, 7.0)  # of a thread that was there for longer than the look
    account.begin(10.0)
    assert account.coreless["n1"] == [pytest.approx((0.0, 0.1, 0.25)), pytest.approx((0.2, 0.3, 1.0))]


def over(
    account: Account, held: Callable[[str], Sequence[tuple[float, float]]]
) -> list[tuple[str, float, float]]:
    """Return windows in which a node held more than its settings allow: when, and how much."""
    began_s = dict.fromkeys(account.plan.node_names(), account.start_s) | account.lives
    found = []
    for node in account.plan.node_names():
        for at_s, mean in windows(held(node), FALL_S):
            up_s = at_s + FALL_S - began_s[node] if at_s >= began_s[node] else inf
            if mean > with_chance(crowd(up_s)):
                found.append((node, at_s, mean))
    return found


@pytest.mark.parametrize("seed", [3, 4, 5])
def test_24_cold_nodes_stay_within_what_they_take_by_a_clock_of_their_own(seed: int) -> None:
    """The same with the machine left out: the real decisions, every one of their windows."""
    account = model.play(parse({**PLAN, "run": {**PLAN["run"], "seed": seed}}))
    assert account.violations == []
    assert account.figures()["falls"] == 0
    assert account.counts["served"] > 500
    assert over(account, account.in_hand) == []


def test_24_cold_processes_stay_within_what_a_cold_service_and_each_of_them_takes(tmp_path: Path) -> None:
    """Half of them are killed in the middle, and come back cold with a fresh share.

    Twelve interpreters that start at once on a few cores leave nodes none for a second: what they held
    meanwhile tells of the machine. It was counted once, and this failed on an idle one in two plays of three.
    """
    plan = parse(PLAN)
    account = play(plan, tmp_path)
    assert account.violations == []
    most = max(mean for _, mean in windows(account.held["below"], plan.below.over_s))
    assert 1 < most <= with_chance(plan.below.capacity)
    assert account.figures()["falls"] == 0
    assert over(account, account.in_hand_by_own_time) == []


@pytest.mark.parametrize("callers", [1, 3, 30, 100])
def test_all_callers_of_a_cold_node_are_told_of_no_more_than_it_takes(callers: int) -> None:
    """Each was told of all the room that was left for those before it: 48, then 24, then 16 at one time."""
    cores, heard_us, now = 6, 1_000_000, 0
    node = started_controller(
        SAFE,
        cores=cores,
        capacity_hint=CapacityHint.TOKENS,
        cold_start=True,
        hint_ttl_us=heard_us,
        caller_count=callers,
    )
    told: dict[int, tuple[int, float]] = {}  # what each was told last, and when
    value, most = None, 0.0
    for advise in select_actions(node.actions, AdvertiseCapacity):
        value = advise.value
    for step in range(200):  # 2 s in which one caller more is heard at a time, again and again
        now += 10_000
        events: list[Event] = [Request(step + 1, 0, step % callers, 0, 0, 1.0, 1000)]
        if step % 10 == 9:
            events.append(Tick(0, Gauges(0.2, 1.0)))
        for advise in select_actions(node.handle(now, events), AdvertiseCapacity):
            value = advise.value
        assert value is not None  # who is told nothing sends what it likes
        told[step % callers] = now, value
        total = sum(what for when, what in told.values() if when > now - heard_us)
        speed = 0.3 + 0.7 * now / node.settings.warm_up_us
        assert total <= cores * (1 + 5 * speed) + 1e-6, (step, total)
        most = max(most, total)
    assert callers == 100 or most > cores  # and there is room for work
