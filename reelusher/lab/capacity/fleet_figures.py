"""Figures of a simulated fleet: its traffic and cost, the propagation of changes, and what nodes lack."""

import gc
import resource
from array import array
from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil
from statistics import mean
from time import process_time
from typing import Any

from reelusher.fleet.membership.authentication import MessageAuthenticator
from reelusher.fleet.membership.messages import Datagram, MemberState, Update
from reelusher.fleet.replication.positions import partition_of
from reelusher.lab.capacity.simulated_fleet import CONTROL, FIRST_INCARNATION_MS, Change, Fleet, Node
from reelusher.lab.capacity.simulated_network import UDP_HEADER_BYTES

NEARLY_ALL = 0.999  # fraction of the steady nodes for which propagation is also measured


@dataclass(slots=True, frozen=True)
class Reading:
    """What the nodes of a shard sent and what they cost over a period."""

    seconds: float
    # for each node: datagrams sent, their bytes, bytes received, exchanges, their bytes
    rows: list[list[int]]
    control: int  # number of control members; their rows come first
    processor_s: float
    wall_s: float
    swim_s: float  # wall time spent in `Swim`
    replica_s: float  # wall time spent in `Replica`
    peak_kb: int
    counts: dict[str, float]


class Meter:
    """Measures what the nodes send and what the simulation costs, from its creation on.

    Garbage collection is off from the creation until `read`.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self._began_s = fleet, fleet.clock.now
        self._counts = [self._count(node) for node in fleet.local_nodes]
        self._processor_s, self._run_wall_s = process_time(), fleet.run_wall_s
        self._protocol_wall_s = fleet.swim_s, fleet.replica_s
        gc.collect()
        gc.disable()

    @staticmethod
    def _count(node: Node) -> tuple[int, int, int, int, int]:
        return node.sent, node.sent_bytes, node.received_bytes, node.exchanges, node.exchange_bytes

    def read(self) -> Reading:
        """Return what was sent and spent since this meter was created."""
        gc.enable()
        fleet = self.fleet
        rows = [
            [after - before for after, before in zip(self._count(node), counts, strict=True)]
            for node, counts in zip(fleet.local_nodes, self._counts, strict=True)
        ]
        swim_s, replica_s = (
            fleet.swim_s - self._protocol_wall_s[0],
            fleet.replica_s - self._protocol_wall_s[1],
        )
        return Reading(
            fleet.clock.now - self._began_s,
            rows,
            sum(node.index < len(CONTROL) for node in fleet.local_nodes),
            process_time() - self._processor_s,
            fleet.run_wall_s - self._run_wall_s,
            swim_s,
            replica_s,
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
            {
                "false_deaths": fleet.false_deaths,
                "failed_pulls": fleet.failed_pulls,
                "turned_away": fleet.rejected_connections,
            },
        )

    def figures(self) -> dict[str, float]:
        """Return the figures of a fleet with a single shard."""
        return figures_of([self.read()])


def figures_of(readings: Sequence[Reading]) -> dict[str, float]:
    """Return the figures of a fleet from the readings of all its shards.

    Traffic is per node and second, in the mean; the bytes sent also at the 99th percentile and the highest.
    `*_core_percent` is the mean processor use of a node in % of a core. Process time, memory and counts are
    totals of the shards; `wall_seconds` is that of the slowest one.
    """
    rows = [row for reading in readings for row in reading.rows]
    seconds, node_count = readings[0].seconds, len(rows)

    def bytes_per_s(row: Sequence[int]) -> float:
        return (row[1] + row[4] + UDP_HEADER_BYTES * row[0]) / seconds

    sent = sorted(map(bytes_per_s, rows))
    # `swim_s` and `replica_s` are wall time; the process had a processor for `processor_s` of its `wall_s`
    membership, replica = (
        sum(
            spent / reading.wall_s * reading.processor_s
            for spent, reading in zip(wall_times, readings, strict=True)
            if reading.wall_s
        )
        / node_count
        / seconds
        for wall_times in (
            [reading.swim_s for reading in readings],
            [reading.replica_s for reading in readings],
        )
    )
    cpu = sum(reading.processor_s for reading in readings)
    datagrams = mean(row[0] for row in rows) / seconds
    sealing = datagrams * 2 * seal_s()
    return {
        "virtual_seconds": round(seconds, 1),
        "datagrams_a_second": round(datagrams, 2),
        "datagram_bytes_a_second": round(mean(row[1] for row in rows) / seconds, 1),
        "header_bytes_a_second": round(UDP_HEADER_BYTES * datagrams, 1),
        "exchanges_a_second": round(mean(row[3] for row in rows) / seconds, 3),
        "exchange_bytes_a_second": round(mean(row[4] for row in rows) / seconds, 1),
        "sent_bytes_a_second_mean": round(mean(sent), 1),
        "sent_bytes_a_second_99_percent": round(sent[int(0.99 * (node_count - 1))], 1),
        "sent_bytes_a_second_most": round(sent[-1], 1),
        "sent_bytes_a_second_most_but_control": round(
            max(bytes_per_s(row) for reading in readings for row in reading.rows[reading.control :]), 1
        ),
        "membership_core_percent": round(100 * membership, 4),
        "replica_core_percent": round(100 * replica, 4),
        "sealing_core_percent": round(100 * sealing, 4),
        "core_percent": round(100 * (membership + replica + sealing), 4),
        "driver_core_percent": round(100 * (cpu / node_count / seconds - membership - replica), 4),
        "process_seconds": round(cpu, 1),
        "wall_seconds": round(max(reading.wall_s for reading in readings), 1),
        "peak_memory_mb": round(sum(reading.peak_kb for reading in readings) / 1024),
        **{name: sum(reading.counts[name] for reading in readings) for name in readings[0].counts},
    }


def seal_s(count: int = 2000) -> float:
    """Return half the processor time, in seconds, that sealing and opening a datagram take together."""
    sender, receiver = (
        MessageAuthenticator(b"a secret of sixteen", "reelusher", "10.0.0.1:7946", incarnation)
        for incarnation in (1, 2)
    )
    updates = [
        Update(
            f"10.0.0.{number}:7946",
            "node-1234",
            "zone-12",
            "region-3",
            FIRST_INCARNATION_MS,
            MemberState.ALIVE,
        )
        for number in range(3)
    ]
    message = Datagram(0, "10.0.0.1:7946", 1 << 20, "", updates, [1 << 31, *[9, 1 << 12] * 6])  # type: ignore[arg-type]
    began = process_time()
    for _ in range(count):
        receiver.open(sender.seal(message), Datagram)
    return (process_time() - began) / count / 2


@dataclass(slots=True, frozen=True)
class Spread:
    """The changes made in a shard, and when each change arrived at the shard's steady nodes."""

    changes: list[Change]
    arrivals: "dict[tuple[int, int], array[float]]"
    steady: int  # number of steady nodes in all shards


def spread_figures(spreads: Sequence[Spread]) -> dict[str, float]:
    """Return the seconds that changes took to reach 99.9% of the steady nodes, and all of them.

    A change that did not reach so many nodes counts as infinity.
    """
    nearly_all: list[float] = []
    all_nodes: list[float] = []
    steady_count = spreads[0].steady
    for change in [change for spread in spreads for change in spread.changes]:
        key = change.partition_index, change.log_index
        arrived_s = sorted(at_s for spread in spreads for at_s in spread.arrivals.get(key, ()))
        for needed, times_s in ((ceil(NEARLY_ALL * steady_count), nearly_all), (steady_count, all_nodes)):
            times_s.append(arrived_s[needed - 1] - change.at_s if len(arrived_s) >= needed else float("inf"))
    if not nearly_all:
        return {"changes": 0}
    nearly_all.sort()
    all_nodes.sort()

    def percentile(values: list[float], fraction: float) -> float:
        return round(values[min(len(values) - 1, int(fraction * len(values)))], 3)

    return {
        "changes": len(nearly_all),
        "steady_nodes": steady_count,
        "to_999_permille_median_s": percentile(nearly_all, 0.5),
        "to_999_permille_p99_s": percentile(nearly_all, 0.99),
        "to_999_permille_most_s": percentile(nearly_all, 1.0),
        "to_all_median_s": percentile(all_nodes, 0.5),
        "to_all_p99_s": percentile(all_nodes, 0.99),
        "to_all_most_s": percentile(all_nodes, 1.0),
        "past_8_s_for_999_permille": len(nearly_all) - bisect_left(nearly_all, 8.0),
        "past_16_s_for_all": len(all_nodes) - bisect_left(all_nodes, 16.0),
    }


def leader_rows(fleet: Fleet) -> dict[str, Any]:
    """Return the rows of each partition as its leader in this shard holds them, by name."""
    return {
        name: row
        for node in fleet.local_nodes
        if node.index < len(CONTROL)
        for name, row in node.rows.live_entries().items()
        if partition_of(name, CONTROL) == node.name
    }


def count_inconsistent_nodes(
    fleet: Fleet, newest: dict[str, Any], changes: Sequence[Change]
) -> dict[str, int]:
    """Return how many live nodes of a shard lack a change, or have other rows than the leaders."""
    with_other_rows = sum(node.rows.live_entries() != newest for node in fleet.local_nodes if node.up)
    last_indexes = [
        sum(change.partition_index == partition_index for change in changes)
        for partition_index in range(len(CONTROL))
    ]
    behind = sum(node.position[2::2] != last_indexes for node in fleet.local_nodes if node.up)
    return {"nodes_with_other_rows": with_other_rows, "nodes_not_at_the_last_change": behind}
