"""Replicas that exchange on a simulated clock, in memory or with a SQLite file each."""

from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from reelusher.fleet.replication.messages import EntriesReply, LogEntry
from reelusher.fleet.replication.positions import partition_of
from reelusher.fleet.replication.pull_scheduler import Pull
from reelusher.fleet.replication.replica import PullResult, Replica
from reelusher.fleet.replication.replica_store import MemoryReplicaStore
from reelusher.fleet.replication.sqlite_replica import SqliteReplica

CONTROL = ("c1", "c2")


def tenant_json(name: str, prefix: str = "", **more: Any) -> bytes:
    """Return a tenant of one host, as entries carry it."""
    return msgspec.json.encode(
        {
            "name": name,
            "backend": "w",
            "hosts": [f"{name}.example"],
            "prefix": prefix or "/",
            "routes": [],
            **more,
        }
    )


def entry(name: str, number: int = 0, state: str = "active", **more: Any) -> LogEntry:
    """Return a change; a state of "" removes."""
    return LogEntry(number, name, 1_000, "op", state, tenant_json(name, **more) if state else b"")


def names_of(partition: str, count: int, control: Sequence[str] = CONTROL) -> list[str]:
    """Return so many names that belong to a partition."""
    found: list[str] = []
    number = 0
    while len(found) < count:
        if partition_of(f"t{number}", control) == partition:
            found.append(f"t{number}")
        number += 1
    return found


class Replicas:
    """Members called c1, c2 (which lead) and n1, n2 ...; each address is the member's name."""

    def __init__(self, size: int, folder: Path | None = None, control: Sequence[str] = CONTROL) -> None:
        """`folder`: for a file of each; None: stores in memory."""
        self.now, self.random, self.control, self.folder = 100.0, Random(1), control, folder
        self.files = 0
        self.stores: dict[str, MemoryReplicaStore | SqliteReplica] = {}
        self.replicas: dict[str, Replica] = {}
        for name in (*control, *(f"n{number}" for number in range(1, size + 1))):
            self.add(name)

    def add(self, name: str, rows: MemoryReplicaStore | SqliteReplica | None = None) -> None:
        """Add a member with an empty store, or with this one."""
        if name in self.stores:
            self.close(name)
        self.files += 1
        if rows is None and self.folder is not None:
            rows = SqliteReplica(
                self.folder / f"{name}-{self.files}.db", "f", self.control, wall_ms=lambda: 0
            )
        self.stores[name] = rows or MemoryReplicaStore(lambda: 0)
        self.replicas[name] = self._make_replica(name)

    def close(self, *names: str) -> None:
        """Close the stores of members, or of all."""
        for name in names or self.stores:
            rows = self.stores[name]
            if isinstance(rows, SqliteReplica):
                rows.close()

    def live_rows(self, name: str) -> dict[str, tuple[int, str]]:
        """Return index and state of each tenant that a member has."""
        rows = self.stores[name]
        if isinstance(rows, MemoryReplicaStore):
            return {key: (one.index, one.state) for key, one in rows.live_entries().items()}
        return {row.name: (row.index, row.state) for row in rows.page("", 10_000)}

    def divergent_rows(self, name: str) -> list[tuple[str, int]]:
        """Return name and index of the divergent rows of a member."""
        rows = self.stores[name]
        if isinstance(rows, MemoryReplicaStore):
            return [(one.name, one.index) for _, _, one in rows.divergent_rows]
        return [(one["name"], one["revision"]) for one in rows.divergent_rows()]

    def _make_replica(self, name: str) -> Replica:
        return Replica(
            name, self.control, self.stores[name], Random(self.random.random()), now=self.now, own_name=name
        )

    def restart(self, name: str) -> None:
        """Lose what is not in the store."""
        rows = self.stores[name]
        if isinstance(rows, SqliteReplica):
            rows.close()
            self.stores[name] = SqliteReplica(rows.path, "f", self.control, wall_ms=lambda: 0)
        self.replicas[name] = self._make_replica(name)

    def change(self, name: str, state: str = "active", by: str = "", **more: Any) -> LogEntry:
        """Make a change at the leader of a name."""
        partition = partition_of(name, self.control)
        leader = by or partition
        return self.replicas[leader].accept(partition, leader, entry(name, state=state, **more))

    def request_entries(self, puller: str, sender: str) -> tuple[Pull, EntriesReply] | None:
        """Return a pull and its reply, past all waits; None where the puller is not behind."""
        self.now += 60.0
        one, other = self.replicas[puller], self.replicas[sender]
        one.pulls.peers_ahead.clear()
        one.pulls.avoided.clear()
        one.pulls.due_s = self.now
        one.pulls.observe(sender, "", list(other.announce()), self.now)
        pull = one.pulls.next_pull(self.now)
        return None if pull is None else (pull, other.answer(pull.request, self.now))

    def pull(self, puller: str, sender: str) -> PullResult | None:
        """Pull once and apply the reply."""
        asked = self.request_entries(puller, sender)
        return None if asked is None else self.replicas[puller].apply_reply(*asked, self.now)

    def settle(self, *members: str, most: int = 200) -> None:
        """Let all pull from all until no replica changes any more."""
        among = members or tuple(self.replicas)
        for _ in range(most):
            moved = False
            for puller in among:
                for sender in among:
                    taken = self.pull(puller, sender) if puller != sender else None
                    moved |= taken is not None and taken.segments > 0
            if not moved:
                return
        raise AssertionError("the replicas do not converge")
