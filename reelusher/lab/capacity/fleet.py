"""A fleet of hollow nodes on a virtual clock: the real `Swim` and `Replica`, no sockets, no processes.

    python -m reelusher.lab.capacity.fleet day --size 3600 --seconds 120

plays a fleet in 17 zones of 7 regions that loses datagrams, restarts nodes and takes changes of tenants, and
writes what it measured to docs/capacity/fleet/NAME.json.
"""

import argparse
import gc
import json
import resource
import sys
from bisect import bisect_left
from collections.abc import Callable, Iterable
from functools import partial
from math import ceil
from pathlib import Path
from random import Random
from statistics import mean, median
from time import perf_counter, process_time
from typing import Any

import msgspec

from reelusher.fleet.membership.messages import (
    BucketsRequest, DigestReply, DigestRequest, Message, Seal, State, StateReply, StateRequest, Update)
from reelusher.fleet.membership.service import (
    DROP_S, MOST_ASKERS, STATE_S, STATES_AT_ONCE, STATES_PER_S, SYNC_LEAST_S, SYNC_S, Allowance)
from reelusher.fleet.membership.swim import Said, Swim
from reelusher.fleet.membership.table import Table
from reelusher.fleet.replication.messages import EntriesReply, Entry
from reelusher.fleet.replication.rows import MemoryRows
from reelusher.fleet.replication.streams import Behind, Pull, Replica, stream_of
from reelusher.lab.fleet.virtual import VirtualLine

FOLDER = Path(__file__).parents[3] / "docs" / "capacity" / "fleet"
ZONES, REGIONS = 17, 7
CONTROL = tuple(f"control-{number}" for number in range(1, 7))
IN_ZONE_S, IN_REGION_S = 0.0005, 0.002  # one way
BETWEEN_S = 0.01, 0.1  # one way between the two closest regions, and the two furthest
JITTER = 0.2  # part of a way by which it may take longer
LOSS = 0.02  # of datagrams, and of legs of an exchange, which then wait for TCP
RESENT_S = 0.2  # until TCP sends anew
HEADERS = 28  # bytes of IP and UDP of a datagram
SEGMENT = 1448  # bytes of an exchange in one packet
PACKET = 52  # bytes of IP and TCP headers of one
HANDSHAKE = 6  # packets of a connection without data, both ways
LIFE_MS = 1_764_650_000_000  # incarnations are the times of starts
RESTART_S = 11.0  # between restarts in the fleet: 7,880 a day
DOWN_S = 2.0, 6.0  # that one is away
DAY_RATE = 12_000 / 86_400  # changes a second
TENANT = b'{"name":"%s","backend":"w-1","hosts":["%s.example"],"prefix":"/","class":"shop"}' + b" " * 220
TENANTS = 400  # that are changed
ENOUGH = 0.999
Network = Callable[[int, int], bool]


def region_of(zone: int) -> int:
    """Return the region of a zone: most have two or three."""
    return zone % REGIONS


def ways() -> list[list[float]]:
    """Return the seconds one way between each two zones: regions lie on a line."""
    step = (BETWEEN_S[1] - BETWEEN_S[0]) / (REGIONS - 2)

    def way(one: int, other: int) -> float:
        if one == other:
            return IN_ZONE_S
        apart = abs(region_of(one) - region_of(other))
        return BETWEEN_S[0] + (apart - 1) * step if apart else IN_REGION_S

    return [[way(one, other) for other in range(ZONES)] for one in range(ZONES)]


class Node:
    """One hollow node, and what it has sent."""

    __slots__ = ("index", "name", "place", "zone", "up", "swim", "rows", "replica", "due_s", "pull_due_s",
                 "sync_due_s", "syncing", "asked", "states", "sent", "sent_bytes", "got_bytes", "exchanges",
                 "exchange_bytes", "position")

    def __init__(self, index: int, name: str) -> None:
        self.index, self.name, self.zone = index, name, index % ZONES
        self.place = f"10.{index // 250}.{index % 250 + 1}.9:7946"
        self.up = True
        self.rows = MemoryRows()
        self.swim: Swim
        self.replica: Replica
        self.due_s = self.pull_due_s = self.sync_due_s = float("inf")
        self.syncing = False
        self.asked = 0  # askers at this instant
        self.states: Allowance
        self.sent = self.sent_bytes = self.got_bytes = self.exchanges = self.exchange_bytes = 0
        self.position: list[int] = []


class Change:
    """One change of a tenant and how far it has come."""

    __slots__ = ("at_s", "seen", "most_s", "all_s", "stream", "number")

    def __init__(self, at_s: float, stream: int, number: int) -> None:
        self.at_s, self.stream, self.number = at_s, stream, number
        self.seen = 0
        self.most_s = self.all_s = float("inf")  # from its making until 99.9 % and all of the steady have it


class Fleet:
    """Hollow nodes that have joined, and what stands between them."""

    def __init__(self, size: int, seed: int = 1, loss: float = LOSS, replicate: bool = True) -> None:
        self.line, self.random, self.loss = VirtualLine(), Random(seed), loss
        self.replicate = replicate
        self.way = ways()
        self.cut: Network = lambda one, other: False
        self.nodes = [Node(number, CONTROL[number] if number < len(CONTROL) else f"node-{number:04}")
                      for number in range(size)]
        self.by_place = {node.place: node for node in self.nodes}
        self.steady = set(range(size))  # neither restarted nor cut off on purpose
        self.changes: list[Change] = []
        self._by_number: dict[tuple[int, int], Change] = {}
        self.told_dead: dict[str, int] = {}  # by place, how many hold it for dead
        self.false_deaths = self.swim_s = self.replica_s = self.failed_pulls = self.turned_away = 0.0
        self.refused: dict[str, int] = {}
        self._encoder = msgspec.msgpack.Encoder()
        seal = Seal(b"a secret of sixteen", "reelusher", self.nodes[-1].place, LIFE_MS)
        seal._number = 1 << 20
        ping = Message(0, "x")  # type: ignore[arg-type]
        self._envelope = len(seal.close(ping)) - len(self._encoder.encode(ping))
        everyone = Table(Random(seed))
        for node in self.nodes:
            self._begin(node, LIFE_MS)
            everyone.take(node.swim.own, 0.0)
        for node in self.nodes:
            node.swim.table.fill(everyone, node.place)
            node.swim.quiet()
            node.sync_due_s = self.random.uniform(0.0, SYNC_S[1])
            self._wake(node)
            self._wake_sync(node)
            self.line.call_later(self.random.uniform(0.0, DROP_S), self._drop, node)

    # The nodes

    def _begin(self, node: Node, life: int) -> None:
        now, random = self.line.now, Random(self.random.random())
        own = Update(node.place, node.name, f"zone-{node.zone:02}", f"region-{region_of(node.zone)}", life,
                     State.ALIVE)
        node.swim = Swim(own, random, now)
        node.states = Allowance(STATES_PER_S, STATES_AT_ONCE, now)
        node.due_s = node.pull_due_s = float("inf")
        node.syncing, node.asked = False, 0
        if self.replicate:
            node.replica = Replica(node.place, CONTROL, node.rows, random, str(node.zone), now)
            node.position = node.replica.announce()
            node.swim.vector = node.replica.announce
            node.swim.heard = lambda sender, vector, at: self._heard(node, sender, vector, at)

    def _heard(self, node: Node, sender: str, vector: list[int], now: float) -> None:
        if vector != node.position or node.replica._due_s != node.pull_due_s:
            began = perf_counter()
            node.replica.heard(sender, str(self.by_place[sender].zone), vector, now)
            took = perf_counter() - began
            self.replica_s += took
            self.swim_s -= took  # within which it is called
            self._wake_pull(node)

    def _drop(self, node: Node) -> None:
        if node.up:
            node.swim.table.drop_old(self.line.now)
        self.line.call_later(DROP_S, self._drop, node)

    def _wake(self, node: Node) -> None:
        now = self.line.now
        at = max(now, node.swim.next_s())
        if now < node.due_s <= at or not node.up:
            return  # an earlier look is set
        node.due_s = at
        self.line.call_later(at - now, self._tick, node, at, node.swim)

    def _tick(self, node: Node, at: float, swim: Swim) -> None:
        if node.due_s == at and node.up and swim is node.swim:
            node.due_s = float("inf")
            began = perf_counter()
            said = swim.tick(self.line.now)
            self.swim_s += perf_counter() - began
            self._carry_out(node, said)
            self._wake(node)

    def _carry_out(self, node: Node, said: Said) -> None:
        random = self.random
        for change in said.changes:
            if change.said.state is State.DEAD:
                place = change.said.place
                self.told_dead[place] = self.told_dead.get(place, 0) + 1
                other = self.by_place[place]
                self.false_deaths += other.up and not self.cut(node.index, other.index)
        for place, message in said.out:
            node.sent += 1
            size = len(self._encoder.encode(message)) + self._envelope
            node.sent_bytes += size
            other = self.by_place[place]
            if other.up and random.random() >= self.loss and not self.cut(node.index, other.index):
                self.line.call_later(self._way_s(node, other), self._take, other, message, size)
        if node.swim.sync_with and not node.syncing:
            found = node.swim.sync_with.pop()
            node.swim.sync_with.clear()
            node.syncing = True
            self._compare(node, self.by_place[found])

    def _way_s(self, one: Node, other: Node) -> float:
        return self.way[one.zone][other.zone] * (1 + JITTER * self.random.random())

    def _take(self, node: Node, message: Message, size: int) -> None:
        if not node.up:
            return
        node.got_bytes += size
        began = perf_counter()
        said = node.swim.receive(message, self.line.now)
        self.swim_s += perf_counter() - began
        self._carry_out(node, said)
        self._wake(node)

    # Exchanges over TCP

    def _leg_s(self, one: Node, other: Node, size: int = 0) -> float:
        late = RESENT_S if self.random.random() < self.loss * (1 + size // SEGMENT / 10) else 0.0
        return self._way_s(one, other) + late

    def _bytes(self, node: Node, other: Node, body: Any) -> int:
        """Count a frame for both ends, packets and all; return its size."""
        size = len(self._encoder.encode(body)) + self._envelope + 4
        told = size + PACKET * (1 + size // SEGMENT)
        node.exchange_bytes += told + PACKET * HANDSHAKE // 4
        other.exchange_bytes += PACKET * (1 + size // SEGMENT // 2) + PACKET * HANDSHAKE // 4
        return size

    def _ask(self, node: Node, other: Node, request: Any, answer: Callable[[float], Any],
             then: Callable[[Any], None]) -> None:
        """Have a node ask another; `then` gets the reply, None where there is none."""
        swim = node.swim
        node.exchanges += 1
        size = self._bytes(node, other, request)

        def ended(reply: Any) -> None:
            if node.up and node.swim is swim:
                then(reply)

        def arrived() -> None:
            if not other.up or self.cut(node.index, other.index):
                self.line.call_later(STATE_S, ended, None)
                return
            if other.asked >= MOST_ASKERS:
                self.turned_away += 1
                self.line.call_later(self._way_s(other, node), ended, None)
                return
            other.asked += 1
            self.line.call_later(self._leg_s(node, other, size) + self._way_s(other, node), answered)

        def answered() -> None:  # the connection stands, and the request is read
            other.asked = max(0, other.asked - 1)
            reply = answer(self.line.now) if other.up else None
            if reply is None:
                ended(None)
                return
            back = self._bytes(other, node, reply)
            self.line.call_later(self._leg_s(other, node, back), ended, reply)

        self.line.call_later(self._leg_s(node, other), arrived)

    def _wake_sync(self, node: Node) -> None:
        self.line.call_later(node.sync_due_s - self.line.now, self._sync, node, node.swim)

    def _sync(self, node: Node, swim: Swim) -> None:
        if not node.up or node.swim is not swim:
            return
        node.sync_due_s = self.line.now + self.random.uniform(*SYNC_S)
        self._wake_sync(node)
        live = swim.table.count()
        lost = [seed for seed in self.nodes[:len(CONTROL)] if seed is not node and not (
            seed.place in swim.table.members and swim.table.members[seed.place].here)]
        if lost and self.random.random() < 3 / (1 + live):
            self._compare(node, self.random.choice(lost))
        elif live:
            self._compare(node, self.by_place[swim.table.some(1)[0]])

    def _merged(self, node: Node, updates: Iterable[Update]) -> None:
        began = perf_counter()
        said = node.swim.merge(updates, self.line.now)
        self.swim_s += perf_counter() - began
        self._carry_out(node, said)
        self._wake(node)

    def _compare(self, node: Node, other: Node) -> None:
        """Compare states as `Membership` does."""
        request = DigestRequest(node.place, node.swim.digest())

        def free() -> None:
            node.syncing = False

        def digests(reply: DigestReply | None) -> None:
            self.line.call_later(self.random.uniform(*SYNC_LEAST_S), free)
            if reply is None or not reply.digests:
                return
            buckets = node.swim.differing(reply.digests)
            if buckets:
                self._ask(node, other, BucketsRequest(node.place, buckets, node.swim.in_buckets(buckets)),
                          lambda now: given(buckets), merged)

        def merged(reply: StateReply | None) -> None:
            if reply is not None:
                self._merged(node, reply.updates)

        def given(buckets: list[int]) -> StateReply:
            self._merged(other, node.swim.in_buckets(buckets))
            return StateReply(other.swim.in_buckets(buckets) if other.states.take(self.line.now)
                              else [other.swim.own])

        self._ask(node, other, request, lambda now: DigestReply(other.swim.compared(request.whole)), digests)

    # Replication

    def _wake_pull(self, node: Node) -> None:
        at = node.replica.due_s()
        if at != node.pull_due_s and node.up:
            node.pull_due_s = at
            if at < float("inf"):
                self.line.call_later(at - self.line.now, self._pull, node, at, node.replica)

    def _pull(self, node: Node, at: float, replica: Replica) -> None:
        if not node.up or node.replica is not replica or node.pull_due_s != at:
            return
        node.pull_due_s = float("inf")
        began = perf_counter()
        pull = replica.next_pull(self.line.now)
        self.replica_s += perf_counter() - began
        self._wake_pull(node)
        if pull is not None:
            other = self.by_place[pull.place]
            self._ask(node, other, pull.request, lambda now: self._entries(other, pull, now),
                      lambda reply: self._pulled(node, pull, reply))

    def _entries(self, other: Node, pull: Pull, now: float) -> EntriesReply:
        began = perf_counter()
        reply = other.replica.asked(pull.request, now)
        self.replica_s += perf_counter() - began
        return reply

    def _pulled(self, node: Node, pull: Pull, reply: EntriesReply | None) -> None:
        began = perf_counter()
        if reply is None:
            self.failed_pulls += 1
            node.replica.failed(pull, self.line.now)
        else:
            taken = node.replica.take(pull, reply, self.line.now)
            for word in taken.refused:
                self.refused[word] = self.refused.get(word, 0) + 1
        self.replica_s += perf_counter() - began
        self._note(node)
        self._wake_pull(node)

    def _note(self, node: Node) -> None:
        """Note which changes a node has now."""
        before, node.position = node.position, node.replica.announce()
        if before is node.position or node.index not in self.steady:
            return
        now, need = self.line.now, len(self.steady)
        for stream in range(len(CONTROL)):
            for number in range(before[2 + 2 * stream] + 1, node.position[2 + 2 * stream] + 1):
                change = self._by_number[stream, number]
                change.seen += 1
                if change.seen == ceil(ENOUGH * need):
                    change.most_s = now - change.at_s
                if change.seen == need:
                    change.all_s = now - change.at_s

    def change(self, tenant: int) -> bool:
        """Have a tenant's holder make a change; False where it is away."""
        name = f"tenant-{tenant}"
        holder = stream_of(name, CONTROL)
        node = self.nodes[CONTROL.index(holder)]
        if not node.up:
            return False
        now = self.line.now
        body = TENANT.replace(b"%s", name.encode()) + str(len(self.changes)).encode()
        try:
            entry = node.replica.accept(holder, node.name, Entry(
                0, name, int(now * 1000), "ops", "active", body))
        except Behind:
            return False
        stream = CONTROL.index(holder)
        change = Change(now, stream, entry.number)
        self.changes.append(change)
        self._by_number[stream, entry.number] = change
        self._note(node)
        return True

    # What happens to it

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.line.run(self.line.now + seconds)

    def until(self, holds: Callable[[], bool], most_s: float, step_s: float = 0.1) -> float:
        """Let time pass until something holds; return the seconds, infinity past the most."""
        began = self.line.now
        while not holds():
            if self.line.now - began > most_s:
                return float("inf")
            self.run(step_s)
        return self.line.now - began

    def kill(self, node: Node) -> None:
        """End a node without a word."""
        node.up = False

    def restart(self, node: Node) -> None:
        """Have a node leave, and come back with its rows and no members a little later."""
        if node.up:
            self._carry_out(node, node.swim.leave())
            node.up = False
            self.line.call_later(self.random.uniform(*DOWN_S), self.start, node)

    def start(self, node: Node) -> None:
        """Have a node that was away join anew."""
        node.up = True
        self._begin(node, LIFE_MS + int(self.line.now * 1000) + 1)
        self._join(node)

    def _join(self, node: Node) -> None:
        seed = self.random.choice([one for one in self.nodes[:len(CONTROL)] if one is not node])

        def given(now: float) -> StateReply:
            self._merged(seed, [node.swim.own])
            return StateReply(seed.swim.state()) if seed.states.take(now) else StateReply([], [seed.place])

        def joined(reply: StateReply | None) -> None:
            if reply is None or reply.instead:
                self.line.call_later(self.random.uniform(0.2, 0.6), self._join, node)
                return
            began = perf_counter()
            said = node.swim.join(reply.updates, self.line.now)
            self.swim_s += perf_counter() - began
            self._carry_out(node, said)
            node.sync_due_s = self.line.now + self.random.uniform(0.0, SYNC_S[1])
            self._wake(node)
            self._wake_sync(node)

        self._ask(node, seed, StateRequest(node.place, [node.swim.own]), given, joined)

    def every(self, gap_s: Callable[[], float], work: Callable[[], object], until_s: float) -> None:
        """Do something again and again until a time."""
        def again() -> None:
            if self.line.now < until_s:
                work()
                self.line.call_later(gap_s(), again)

        self.line.call_later(gap_s(), again)

    def restarts(self, until_s: float, gap_s: float) -> None:
        """Restart nodes one by one until a time, but no control members; they are no longer steady."""
        count = int((until_s - self.line.now) / gap_s)
        others = range(len(CONTROL), len(self.nodes))
        pool = self.random.sample(others, min(count, len(others) // 4))
        self.steady -= set(pool)
        chosen = pool + self.random.choices(pool, k=count - len(pool)) if pool else []
        for number, index in enumerate(chosen):
            self.line.call_later((number + self.random.random()) * gap_s, self.restart, self.nodes[index])

    def apart(self, group: set[int]) -> None:
        """Cut some nodes off from all others; none: end a cut."""
        self.cut = (lambda one, other: (one in group) != (other in group)) if group else (
            lambda one, other: False)

    # What came of it

    def agreed(self) -> bool:
        """Tell whether each live node counts just the live ones."""
        live = [node for node in self.nodes if node.up]
        return all(1 + node.swim.table.count() == len(live) for node in live) and all(
            other.swim.table.members[node.place].here
            for node in live[:3] for other in live if other is not node)

    def level(self) -> bool:
        """Tell whether all live nodes are at one position in every stream."""
        return len({tuple(node.position) for node in self.nodes if node.up}) == 1

    def holding_dead(self, node: Node) -> int:
        """Count the live nodes that don't count one as live."""
        return sum(one.up and one is not node and not (
            node.place in one.swim.table.members and one.swim.table.members[node.place].here)
            for one in self.nodes)


class Meter:
    """What nodes send and what the play costs, from its making on."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self._began_s = fleet, fleet.line.now
        self._counts = [self._count(node) for node in fleet.nodes]
        self._cpu, self._wall = process_time(), perf_counter()
        self._parts = fleet.swim_s, fleet.replica_s
        gc.collect()
        gc.disable()

    @staticmethod
    def _count(node: Node) -> tuple[int, int, int, int, int]:
        return node.sent, node.sent_bytes, node.got_bytes, node.exchanges, node.exchange_bytes

    def figures(self) -> dict[str, float]:
        """Return what a node sends and takes in a second, and the most of any one."""
        gc.enable()
        fleet = self.fleet
        cpu, wall = process_time() - self._cpu, perf_counter() - self._wall
        seconds, size = fleet.line.now - self._began_s, len(fleet.nodes)
        rows = [[after - before for after, before in zip(self._count(node), counts, strict=True)]
                for node, counts in zip(fleet.nodes, self._counts, strict=True)]
        whole = sorted((row[1] + row[4] + HEADERS * row[0]) / seconds for row in rows)
        part = [(after - before) / wall * cpu / size / seconds
                for after, before in zip((fleet.swim_s, fleet.replica_s), self._parts, strict=True)]
        datagrams = mean(row[0] for row in rows) / seconds
        sealing = datagrams * 2 * seal_s()
        return {
            "virtual_seconds": round(seconds, 1), "datagrams_a_second": round(datagrams, 2),
            "datagram_bytes_a_second": round(mean(row[1] for row in rows) / seconds, 1),
            "header_bytes_a_second": round(HEADERS * datagrams, 1),
            "exchanges_a_second": round(mean(row[3] for row in rows) / seconds, 3),
            "exchange_bytes_a_second": round(mean(row[4] for row in rows) / seconds, 1),
            "sent_bytes_a_second_mean": round(mean(whole), 1),
            "sent_bytes_a_second_99_percent": round(whole[int(0.99 * (size - 1))], 1),
            "sent_bytes_a_second_most": round(whole[-1], 1),
            "sent_bytes_a_second_most_but_control": round(max(
                (row[1] + row[4] + HEADERS * row[0]) / seconds for row in rows[len(CONTROL):]), 1),
            "membership_core_percent": round(100 * part[0], 4),
            "replica_core_percent": round(100 * part[1], 4),
            "sealing_core_percent": round(100 * sealing, 4),
            "core_percent": round(100 * (part[0] + part[1] + sealing), 4),
            "driver_core_percent": round(100 * (cpu / size / seconds - part[0] - part[1]), 4),
            "process_seconds": round(cpu, 1), "wall_seconds": round(wall, 1),
            "peak_memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
            "false_deaths": fleet.false_deaths, "failed_pulls": fleet.failed_pulls,
            "turned_away": fleet.turned_away}


def seal_s(count: int = 2000) -> float:
    """Return the processor time of sealing a datagram and opening one, halved."""
    seal, other = (Seal(b"a secret of sixteen", "reelusher", "10.0.0.1:7946", life) for life in (1, 2))
    said = [Update(f"10.0.0.{number}:7946", "node-1234", "zone-12", "region-3", LIFE_MS, State.ALIVE)
            for number in range(3)]
    message = Message(0, "10.0.0.1:7946", 1 << 20, "", said, [1 << 31, *[9, 1 << 12] * 6])  # type: ignore[arg-type]
    began = process_time()
    for _ in range(count):
        other.open(seal.close(message), Message)
    return (process_time() - began) / count / 2


def spread_figures(fleet: Fleet) -> dict[str, float]:
    """Return how long the changes took to be everywhere; what never was is told as infinite."""
    most, every = (sorted(getattr(change, what) for change in fleet.changes) for what in ("most_s", "all_s"))
    if not most:
        return {"changes": 0}

    def at(values: list[float], part: float) -> float:
        return round(values[min(len(values) - 1, int(part * len(values)))], 3)

    return {
        "changes": len(most), "steady_nodes": len(fleet.steady),
        "to_999_permille_median_s": at(most, 0.5), "to_999_permille_p99_s": at(most, 0.99),
        "to_999_permille_most_s": at(most, 1.0), "to_all_median_s": at(every, 0.5),
        "to_all_p99_s": at(every, 0.99), "to_all_most_s": at(every, 1.0),
        "past_8_s_for_999_permille": len(most) - bisect_left(most, 8.0),
        "past_16_s_for_all": len(every) - bisect_left(every, 16.0)}


def told(figures: dict[str, Any]) -> dict[str, Any]:
    """Return figures as JSON has them: what did not come about in the play is null."""
    return {name: told(figure) if isinstance(figure, dict) else None if figure == float("inf") else figure
            for name, figure in figures.items()}


def lost(fleet: Fleet) -> dict[str, int]:
    """Return how many live nodes lack a change or have another row than the holder at the end."""
    newest = {name: kept for node in fleet.nodes[:len(CONTROL)] for name, kept in node.rows.live().items()
              if stream_of(name, CONTROL) == node.name}
    differ = sum(node.rows.live() != newest for node in fleet.nodes if node.up)
    numbers = [sum(change.stream == stream for change in fleet.changes) for stream in range(len(CONTROL))]
    undone = sum(node.position[2::2] != numbers for node in fleet.nodes if node.up)
    return {"nodes_with_other_rows": differ, "nodes_not_at_the_last_change": undone}


# Plays


def settle(size: int, seed: int, seconds: float = 5.0, replicate: bool = True) -> Fleet:
    """Return a fleet at rest."""
    fleet = Fleet(size, seed, replicate=replicate)
    fleet.run(seconds)
    return fleet


def play_changes(given: argparse.Namespace) -> dict[str, Any]:
    """Changes at a rate, restarts, and a rack that is away for a part of the time."""
    fleet = settle(given.size, given.seed)
    began = fleet.line.now
    until = began + given.seconds
    if given.restart:
        fleet.restarts(until, given.restart)
    rack = set(range(given.size - given.rack, given.size))
    fleet.steady -= rack
    if rack:
        fleet.line.call_later(given.seconds * 0.3, fleet.apart, rack)
        fleet.line.call_later(given.seconds * 0.3 + given.away, fleet.apart, set())
    meter = Meter(fleet)
    left = [given.changes]

    def one() -> None:
        if left[0] > 0:
            left[0] -= 1
            fleet.change(fleet.random.randrange(TENANTS))

    fleet.every(lambda: fleet.random.expovariate(given.rate), one, until)
    fleet.run(given.seconds)
    figures = meter.figures()
    settled = fleet.until(fleet.level, given.settle, 0.25)
    return figures | spread_figures(fleet) | lost(fleet) | {
        "all_level_after_s": round(settled, 2), "refused": fleet.refused}


def play_region(given: argparse.Namespace) -> dict[str, Any]:
    """A region apart, with changes on both sides, and its return."""
    fleet = settle(given.size, given.seed)
    group = {node.index for node in fleet.nodes if region_of(node.zone) == 2}
    began = fleet.line.now
    if given.restart:
        fleet.restarts(began + given.seconds, given.restart)
    meter = Meter(fleet)
    fleet.apart(group)
    fleet.every(lambda: fleet.random.expovariate(given.rate), lambda: fleet.change(
        fleet.random.randrange(TENANTS)), began + given.seconds)
    fleet.run(given.seconds)
    figures = meter.figures()
    by_side = [0, 0]
    for change in fleet.changes:
        by_side[change.stream in group] += 1
    fleet.apart(set())
    back = Meter(fleet)
    level = fleet.until(fleet.level, given.settle, 0.1)
    at_level = back.figures()
    Meter(fleet)
    agreed = level + fleet.until(fleet.agreed, given.settle, 0.25)
    healed = back.figures()
    return {"apart": figures, "until_level": at_level, "until_agreed": healed} | lost(fleet) | {
        "nodes_apart": len(group), "changes_outside": by_side[0], "changes_inside": by_side[1],
        "all_level_after_return_s": round(level, 2), "members_agree_after_return_s": round(agreed, 2),
        "refused": fleet.refused}


def _known(fleet: Fleet, victim: Node, need: float) -> bool:
    return fleet.holding_dead(victim) >= need


def play_death(given: argparse.Namespace) -> dict[str, Any]:
    """Membership alone: deaths one by one, a rack at once, a zone at once."""
    known: list[float] = []
    fleet = settle(given.size, given.seed, replicate=False)
    rest = Meter(fleet)
    fleet.run(5.0)
    figures = rest.figures()
    for number in range(given.deaths):
        victim = fleet.nodes[given.size // 2 + number]
        fleet.kill(victim)
        need = 0.99 * (sum(node.up for node in fleet.nodes))
        known.append(fleet.until(partial(_known, fleet, victim, need), 60))
    made: dict[str, Any] = {"rest": figures, "death_known_to_99_percent_median_s": round(median(known), 2),
                            "death_known_to_99_percent_most_s": round(max(known), 2)}
    for what, group in (("rack", [node for node in fleet.nodes if node.up][-40:]),
                        ("zone", [node for node in fleet.nodes if node.up and node.zone == 5])):
        dead = [node for node in group if node.up]
        meter = Meter(fleet)
        for node in dead:
            fleet.kill(node)
        took = fleet.until(fleet.agreed, 120, 0.25)
        made |= {f"{what}_nodes": len(dead), f"{what}_known_to_all_s": round(took, 2),
                 f"{what}": meter.figures()}
    return made | {"false_deaths": fleet.false_deaths}


PLAYS = {"changes": play_changes, "region": play_region, "death": play_death}


def main(argv: list[str] | None = None) -> int:
    """Play one and keep what it measured."""
    parser = argparse.ArgumentParser(prog="reelusher.lab.capacity.fleet")
    parser.add_argument("play", choices=PLAYS)
    parser.add_argument("--name", default="", help="of the JSON file; none: nothing is kept")
    parser.add_argument("--size", type=int, default=3600)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0, help="of virtual time")
    parser.add_argument("--rate", type=float, default=DAY_RATE, help="changes a second")
    parser.add_argument("--changes", type=int, default=1_000_000, help="at most")
    parser.add_argument("--restart", type=float, default=RESTART_S, help="seconds between restarts; 0: none")
    parser.add_argument("--rack", type=int, default=0, help="nodes that are cut off at 0.3 of the time")
    parser.add_argument("--away", type=float, default=20.0, help="seconds for which they are")
    parser.add_argument("--settle", type=float, default=60.0, help="seconds at most until all is level")
    parser.add_argument("--deaths", type=int, default=5)
    given = parser.parse_args(argv)
    figures = PLAYS[given.play](given)
    words = sys.argv[1:] if argv is None else argv
    made = {"name": given.name or given.play,
            "command": "python -m reelusher.lab.capacity.fleet " + " ".join(words), "size": given.size,
            "zones": ZONES, "regions": REGIONS, "loss": LOSS, "figures": told(figures)}
    print(json.dumps(made, indent=1))
    if given.name:
        FOLDER.mkdir(parents=True, exist_ok=True)
        (FOLDER / f"{given.name}.json").write_text(json.dumps(made, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
