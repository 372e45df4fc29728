"""Scenarios with a fleet of simulated nodes on a virtual clock.

    python -m reelusher.lab.capacity.fleet changes --name day-3600 --size 3600 --seconds 66 --parts 7

runs a scenario and writes its figures to docs/capacity/fleet/day-3600.json. `--parts` is the number of
processes, the shards; each holds the nodes of some regions.
"""

import argparse
import json
import sys
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from statistics import median
from typing import Any

from reelusher.lab.capacity.fleet_figures import (
    Meter,
    Reading,
    Spread,
    count_inconsistent_nodes,
    figures_of,
    leader_rows,
    spread_figures,
)
from reelusher.lab.capacity.parts import ShardedFleet
from reelusher.lab.capacity.simulated_fleet import CHANGES_PER_S, RESTART_INTERVAL_S, Change, Fleet
from reelusher.lab.capacity.simulated_network import LOSS, REGIONS, ZONES, region_of

FOLDER = Path(__file__).parents[3] / "docs" / "capacity" / "fleet"
RACK_NODES = 40
WARM_UP_S = 5.0  # before anything is measured

# Functions that run in each shard


def begin_meter(fleet: Fleet) -> None:
    """Start to measure."""
    fleet.meter = Meter(fleet)


def read_meter(fleet: Fleet) -> Reading:
    """Return what was measured since `begin_meter`."""
    assert fleet.meter is not None
    return fleet.meter.read()


def begin_changes(
    fleet: Fleet, seconds: float, rate: float, max_count: int, restart_interval_s: float
) -> None:
    """Schedule changes, and restarts unless their interval is 0, over the next seconds."""
    until_s = fleet.clock.now + seconds
    if restart_interval_s:
        fleet.schedule_restarts(until_s, restart_interval_s)
    fleet.schedule_changes(until_s, rate, max_count)


def exclude_from_steady(fleet: Fleet, group: set[int]) -> None:
    """Leave out of the propagation figures some nodes that are going to be cut off."""
    fleet.steady -= group


def isolate(fleet: Fleet, group: set[int]) -> None:
    """Cut a group of nodes off from all others; an empty group heals the partition."""
    fleet.isolate(group)


def kill_nodes(fleet: Fleet, group: Sequence[int]) -> None:
    """Kill those of some nodes that this shard holds."""
    for index in group:
        if fleet.nodes[index] in fleet.local_nodes:
            fleet.kill(fleet.nodes[index])


def count_considering_dead(fleet: Fleet, index: int) -> int:
    """Return how many live nodes of the shard don't consider a node live."""
    return fleet.count_considering_dead(fleet.nodes[index])


def read_spread(fleet: Fleet) -> Spread:
    """Return the changes made in the shard and the arrivals at its nodes."""
    return Spread(fleet.changes, fleet.arrivals, len(fleet.steady))


def read_error_counts(fleet: Fleet) -> tuple[dict[str, int], float]:
    """Return the number of segments not applied, by fault, and that of reachable live nodes declared dead."""
    return fleet.reply_faults, fleet.false_deaths


# Functions that query all shards


def to_json(figures: dict[str, Any]) -> dict[str, Any]:
    """Return figures as they are kept in JSON; an infinite one, whose event did not happen, becomes None."""
    return {
        name: to_json(figure) if isinstance(figure, dict) else None if figure == float("inf") else figure
        for name, figure in figures.items()
    }


def has_converged(shards: ShardedFleet) -> bool:
    """Tell whether all live nodes are at the same position in each partition."""
    return len(set().union(*shards.each(Fleet.positions))) == 1


def memberships_agree(shards: ShardedFleet) -> bool:
    """Tell whether each live node considers exactly the live nodes live."""
    return all(shards.each(Fleet.memberships_agree))


def is_death_known(shards: ShardedFleet, victim: int, min_count: float) -> bool:
    """Tell whether at least a number of live nodes don't consider a node live."""
    return sum(shards.each(count_considering_dead, victim)) >= min_count


def read_figures(shards: ShardedFleet) -> dict[str, float]:
    """Return the figures of all shards since the last `begin_meter`."""
    return figures_of(shards.each(read_meter))


def inconsistency_counts(shards: ShardedFleet, spreads: Sequence[Spread]) -> dict[str, int]:
    """Return how many live nodes have other rows than the leaders, and how many lack a change."""
    newest: dict[str, Any] = {}
    for rows in shards.each(leader_rows):
        newest |= rows
    changes: list[Change] = [change for spread in spreads for change in spread.changes]
    shard_counts = shards.each(count_inconsistent_nodes, newest, changes)
    return {name: sum(counts[name] for counts in shard_counts) for name in shard_counts[0]}


def count_reply_faults(shards: ShardedFleet) -> dict[str, int]:
    """Return how many segments of replies to pulls were not applied in all shards, by fault."""
    totals: dict[str, int] = {}
    for faults, _ in shards.each(read_error_counts):
        for fault, count in faults.items():
            totals[fault] = totals.get(fault, 0) + count
    return totals


# Scenarios


def run_changes(options: argparse.Namespace, shards: ShardedFleet) -> dict[str, Any]:
    """Measure how changes propagate during restarts, and optionally while a rack is cut off for some time."""
    shards.run(WARM_UP_S)
    rack = set(range(options.size - options.rack, options.size))
    shards.each(exclude_from_steady, rack)
    shards.each(begin_meter)
    shards.each(begin_changes, options.seconds, options.rate, options.changes, options.restart)
    if rack:
        shards.run(options.seconds * 0.3)
        shards.each(isolate, rack)
        shards.run(options.away)
        shards.each(isolate, set())
    shards.run(WARM_UP_S + options.seconds - shards.now)
    figures = read_figures(shards)
    converged_s = shards.until(partial(has_converged, shards), options.settle, 0.25)
    spreads = shards.each(read_spread)
    return (
        figures
        | spread_figures(spreads)
        | inconsistency_counts(shards, spreads)
        | {"all_level_after_s": round(converged_s, 2), "refused": count_reply_faults(shards)}
    )


def run_region(options: argparse.Namespace, shards: ShardedFleet) -> dict[str, Any]:
    """Cut a region off while both sides make changes, and measure the time to converge after it heals."""
    shards.run(WARM_UP_S)
    group = {index for index in range(options.size) if region_of(index % ZONES) == 2}
    shards.each(begin_meter)
    shards.each(isolate, group)
    shards.each(begin_changes, options.seconds, options.rate, options.changes, options.restart)
    shards.run(options.seconds)
    figures = read_figures(shards)
    changes = [change for spread in shards.each(read_spread) for change in spread.changes]
    inside = sum(change.partition_index in group for change in changes)
    shards.each(isolate, set())
    shards.each(begin_meter)
    converged_s = shards.until(partial(has_converged, shards), options.settle, 0.1)
    until_converged = read_figures(shards)
    shards.each(begin_meter)
    agreed_s = converged_s + shards.until(partial(memberships_agree, shards), options.settle, 0.25)
    until_agreed = read_figures(shards)
    return (
        {"apart": figures, "until_level": until_converged, "until_agreed": until_agreed}
        | inconsistency_counts(shards, shards.each(read_spread))
        | {
            "nodes_apart": len(group),
            "changes_outside": len(changes) - inside,
            "changes_inside": inside,
            "all_level_after_return_s": round(converged_s, 2),
            "members_agree_after_return_s": round(agreed_s, 2),
            "refused": count_reply_faults(shards),
        }
    )


def run_death(options: argparse.Namespace, shards: ShardedFleet) -> dict[str, Any]:
    """Measure membership without replication: at rest, single deaths, a dead rack and a dead zone."""
    delays_s: list[float] = []
    shards.run(WARM_UP_S)
    shards.each(begin_meter)
    shards.run(5.0)
    figures = read_figures(shards)
    live = list(range(options.size))
    for _ in range(options.deaths):
        victim = live.pop(options.size // 2)
        shards.each(kill_nodes, [victim])
        delays_s.append(shards.until(partial(is_death_known, shards, victim, 0.99 * len(live)), 60))
    results: dict[str, Any] = {
        "rest": figures,
        "death_known_to_99_percent_median_s": round(median(delays_s), 2),
        "death_known_to_99_percent_most_s": round(max(delays_s), 2),
    }
    for group, dead in (
        ("rack", live[-RACK_NODES:]),
        ("zone", [index for index in live[:-RACK_NODES] if index % ZONES == 5]),
    ):
        shards.each(begin_meter)
        shards.each(kill_nodes, dead)
        known_s = shards.until(partial(memberships_agree, shards), 120, 0.25)
        results |= {
            f"{group}_nodes": len(dead),
            f"{group}_known_to_all_s": round(known_s, 2),
            f"{group}": read_figures(shards),
        }
    return results | {"false_deaths": sum(count for _, count in shards.each(read_error_counts))}


SCENARIOS: dict[str, Callable[[argparse.Namespace, ShardedFleet], dict[str, Any]]] = {
    "changes": run_changes,
    "region": run_region,
    "death": run_death,
}


def main(argv: list[str] | None = None) -> int:
    """Run a scenario, print its report and keep it if it has a name."""
    parser = argparse.ArgumentParser(prog="reelusher.lab.capacity.fleet")
    parser.add_argument("play", choices=SCENARIOS)
    parser.add_argument("--name", default="", help="name of the JSON file; without it nothing is kept")
    parser.add_argument("--size", type=int, default=3600)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0, help="of virtual time")
    parser.add_argument("--rate", type=float, default=CHANGES_PER_S, help="changes a second")
    parser.add_argument("--changes", type=int, default=1_000_000, help="maximum number of changes")
    parser.add_argument(
        "--restart", type=float, default=RESTART_INTERVAL_S, help="seconds between restarts; 0: none"
    )
    parser.add_argument(
        "--rack", type=int, default=0, help="nodes of a rack that is cut off after 0.3 of the time"
    )
    parser.add_argument("--away", type=float, default=20.0, help="seconds for which the rack is cut off")
    parser.add_argument(
        "--settle", type=float, default=60.0, help="maximum seconds until all nodes have converged"
    )
    parser.add_argument("--deaths", type=int, default=5)
    parser.add_argument(
        "--parts", type=int, default=1, choices=range(1, REGIONS + 1), help="number of processes"
    )
    options = parser.parse_args(argv)
    with ShardedFleet(options.size, options.seed, options.play != "death", options.parts) as shards:
        figures = SCENARIOS[options.play](options, shards)
    arguments = sys.argv[1:] if argv is None else argv
    report = {
        "name": options.name or options.play,
        "command": "python -m reelusher.lab.capacity.fleet " + " ".join(arguments),
        "size": options.size,
        "zones": ZONES,
        "regions": REGIONS,
        "loss": LOSS,
        "figures": to_json(figures),
    }
    print(json.dumps(report, indent=1))
    if options.name:
        FOLDER.mkdir(parents=True, exist_ok=True)
        (FOLDER / f"{options.name}.json").write_text(json.dumps(report, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
