"""Plays of a fleet of hollow nodes on a virtual clock.

    python -m reelusher.lab.capacity.fleet changes --name day-3600 --size 3600 --seconds 66 --parts 7

plays it and writes what it measured to docs/capacity/fleet/day-3600.json. With `--parts` it runs in so many
processes, each with the nodes of some regions.
"""

import argparse
import json
import sys
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from statistics import median
from typing import Any

from reelusher.lab.capacity.hollow_fleet import (
    CHANGES_PER_S,
    LOSS,
    REGIONS,
    RESTART_INTERVAL_S,
    ZONES,
    Change,
    Fleet,
    Meter,
    Reading,
    Spread,
    count_inconsistent_nodes,
    figures_of,
    leader_rows,
    region_of,
    spread_figures,
)
from reelusher.lab.capacity.parts import ShardedFleet

FOLDER = Path(__file__).parents[3] / "docs" / "capacity" / "fleet"
RACK = 40  # nodes
SETTLED_S = 5.0  # before anything is measured

# What each part is told


def begin_meter(fleet: Fleet) -> None:
    """Measure from now on."""
    fleet.meter = Meter(fleet)


def read_meter(fleet: Fleet) -> Reading:
    """Return what was measured since."""
    assert fleet.meter is not None
    return fleet.meter.read()


def begin_changes(fleet: Fleet, seconds: float, rate: float, most: int, restart_s: float) -> None:
    """Let changes and restarts begin."""
    until_s = fleet.clock.now + seconds
    if restart_s:
        fleet.schedule_restarts(until_s, restart_s)
    fleet.schedule_changes(until_s, rate, most)


def unsteady(fleet: Fleet, group: set[int]) -> None:
    """Don't wait for some nodes, that are going to be away."""
    fleet.steady -= group


def cut_off(fleet: Fleet, group: set[int]) -> None:
    """Cut some nodes off from all others; none: end a cut."""
    fleet.isolate(group)


def kill(fleet: Fleet, group: Sequence[int]) -> None:
    """End some nodes without a word."""
    for index in group:
        if fleet.nodes[index] in fleet.local_nodes:
            fleet.kill(fleet.nodes[index])


def holding(fleet: Fleet, index: int) -> int:
    """Count the nodes that don't count one as live."""
    return fleet.count_considering_dead(fleet.nodes[index])


def spread(fleet: Fleet) -> Spread:
    """Return changes and their arrivals."""
    return Spread(fleet.changes, fleet.arrivals, len(fleet.steady))


def counted(fleet: Fleet) -> tuple[dict[str, int], float]:
    """Return what was refused, and false deaths."""
    return fleet.reply_faults, fleet.false_deaths


# What is asked of all of them


def told(figures: dict[str, Any]) -> dict[str, Any]:
    """Return figures as JSON has them: what did not come about in the play is null."""
    return {
        name: told(figure) if isinstance(figure, dict) else None if figure == float("inf") else figure
        for name, figure in figures.items()
    }


def level(parts: ShardedFleet) -> bool:
    """Tell whether all live nodes are at one position in every stream."""
    return len(set().union(*parts.each(Fleet.positions))) == 1


def agreed(parts: ShardedFleet) -> bool:
    """Tell whether each live node counts just the live ones."""
    return all(parts.each(Fleet.memberships_agree))


def known(parts: ShardedFleet, victim: int, need: float) -> bool:
    """Tell whether enough nodes hold one for dead."""
    return sum(parts.each(holding, victim)) >= need


def measured(parts: ShardedFleet) -> dict[str, float]:
    """Return the figures since the last `begin_meter`."""
    return figures_of(parts.each(read_meter))


def missing(parts: ShardedFleet, spreads: Sequence[Spread]) -> dict[str, int]:
    """Return how many live nodes lack a change or have another row than its holder at the end."""
    newest: dict[str, Any] = {}
    for rows in parts.each(leader_rows):
        newest |= rows
    changes: list[Change] = [change for one in spreads for change in one.changes]
    found = parts.each(count_inconsistent_nodes, newest, changes)
    return {name: sum(one[name] for one in found) for name in found[0]}


def refused(parts: ShardedFleet) -> dict[str, int]:
    """Return the words by which pieces were refused, and how often."""
    made: dict[str, int] = {}
    for words, _ in parts.each(counted):
        for word, number in words.items():
            made[word] = made.get(word, 0) + number
    return made


# Plays


def play_changes(given: argparse.Namespace, parts: ShardedFleet) -> dict[str, Any]:
    """Changes at a rate, restarts, and a rack that is away for a part of the time."""
    parts.run(SETTLED_S)
    rack = set(range(given.size - given.rack, given.size))
    parts.each(unsteady, rack)
    parts.each(begin_meter)
    parts.each(begin_changes, given.seconds, given.rate, given.changes, given.restart)
    if rack:
        parts.run(given.seconds * 0.3)
        parts.each(cut_off, rack)
        parts.run(given.away)
        parts.each(cut_off, set())
    parts.run(SETTLED_S + given.seconds - parts.now)
    figures = measured(parts)
    settled = parts.until(partial(level, parts), given.settle, 0.25)
    spreads = parts.each(spread)
    return (
        figures
        | spread_figures(spreads)
        | missing(parts, spreads)
        | {"all_level_after_s": round(settled, 2), "refused": refused(parts)}
    )


def play_region(given: argparse.Namespace, parts: ShardedFleet) -> dict[str, Any]:
    """A region apart, with changes on both sides, and its return."""
    parts.run(SETTLED_S)
    group = {index for index in range(given.size) if region_of(index % ZONES) == 2}
    parts.each(begin_meter)
    parts.each(cut_off, group)
    parts.each(begin_changes, given.seconds, given.rate, given.changes, given.restart)
    parts.run(given.seconds)
    figures = measured(parts)
    changes = [change for one in parts.each(spread) for change in one.changes]
    inside = sum(change.partition_index in group for change in changes)
    parts.each(cut_off, set())
    parts.each(begin_meter)
    levelled = parts.until(partial(level, parts), given.settle, 0.1)
    at_level = measured(parts)
    parts.each(begin_meter)
    after = levelled + parts.until(partial(agreed, parts), given.settle, 0.25)
    healed = measured(parts)
    return (
        {"apart": figures, "until_level": at_level, "until_agreed": healed}
        | missing(parts, parts.each(spread))
        | {
            "nodes_apart": len(group),
            "changes_outside": len(changes) - inside,
            "changes_inside": inside,
            "all_level_after_return_s": round(levelled, 2),
            "members_agree_after_return_s": round(after, 2),
            "refused": refused(parts),
        }
    )


def play_death(given: argparse.Namespace, parts: ShardedFleet) -> dict[str, Any]:
    """Membership alone: deaths one by one, a rack at once, a zone at once."""
    took: list[float] = []
    parts.run(SETTLED_S)
    parts.each(begin_meter)
    parts.run(5.0)
    figures = measured(parts)
    up = list(range(given.size))
    for _ in range(given.deaths):
        victim = up.pop(given.size // 2)
        parts.each(kill, [victim])
        took.append(parts.until(partial(known, parts, victim, 0.99 * len(up)), 60))
    made: dict[str, Any] = {
        "rest": figures,
        "death_known_to_99_percent_median_s": round(median(took), 2),
        "death_known_to_99_percent_most_s": round(max(took), 2),
    }
    for what, dead in (("rack", up[-RACK:]), ("zone", [index for index in up[:-RACK] if index % ZONES == 5])):
        parts.each(begin_meter)
        parts.each(kill, dead)
        settled = parts.until(partial(agreed, parts), 120, 0.25)
        made |= {
            f"{what}_nodes": len(dead),
            f"{what}_known_to_all_s": round(settled, 2),
            f"{what}": measured(parts),
        }
    return made | {"false_deaths": sum(number for _, number in parts.each(counted))}


PLAYS: dict[str, Callable[[argparse.Namespace, ShardedFleet], dict[str, Any]]] = {
    "changes": play_changes,
    "region": play_region,
    "death": play_death,
}


def main(argv: list[str] | None = None) -> int:
    """Play one and keep what it measured."""
    parser = argparse.ArgumentParser(prog="reelusher.lab.capacity.fleet")
    parser.add_argument("play", choices=PLAYS)
    parser.add_argument("--name", default="", help="of the JSON file; none: nothing is kept")
    parser.add_argument("--size", type=int, default=3600)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0, help="of virtual time")
    parser.add_argument("--rate", type=float, default=CHANGES_PER_S, help="changes a second")
    parser.add_argument("--changes", type=int, default=1_000_000, help="at most")
    parser.add_argument(
        "--restart", type=float, default=RESTART_INTERVAL_S, help="seconds between restarts; 0: none"
    )
    parser.add_argument("--rack", type=int, default=0, help="nodes that are cut off at 0.3 of the time")
    parser.add_argument("--away", type=float, default=20.0, help="seconds for which they are")
    parser.add_argument("--settle", type=float, default=60.0, help="seconds at most until all is level")
    parser.add_argument("--deaths", type=int, default=5)
    parser.add_argument("--parts", type=int, default=1, choices=range(1, REGIONS + 1), help="processes")
    given = parser.parse_args(argv)
    with ShardedFleet(given.size, given.seed, given.play != "death", given.parts) as parts:
        figures = PLAYS[given.play](given, parts)
    words = sys.argv[1:] if argv is None else argv
    made = {
        "name": given.name or given.play,
        "command": "python -m reelusher.lab.capacity.fleet " + " ".join(words),
        "size": given.size,
        "zones": ZONES,
        "regions": REGIONS,
        "loss": LOSS,
        "figures": told(figures),
    }
    print(json.dumps(made, indent=1))
    if given.name:
        FOLDER.mkdir(parents=True, exist_ok=True)
        (FOLDER / f"{given.name}.json").write_text(json.dumps(made, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
