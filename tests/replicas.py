"""Replicas that exchange on a clock of the test's, with or without a file each."""

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


def names_of(stream: str, count: int, control: Sequence[str] = CONTROL) -> list[str]:
    """Return so many names that belong to a stream."""
    found: list[str] = []
    number = 0
    while len(found) < count:
        if partition_of(f"t{number}", control) == stream:
            found.append(f"t{number}")
        number += 1
    return found


class Replicas:
    """Members called c1, c2 (which write) and n1, n2 ...; each place is the member's name."""

    def __init__(self, size: int, folder: Path | None = None, control: Sequence[str] = CONTROL) -> None:
        """With a folder, each has a file there."""
        self.now, self.random, self.control, self.folder = 100.0, Random(1), control, folder
        self.files = 0
        self.rows: dict[str, MemoryReplicaStore | SqliteReplica] = {}
        self.all: dict[str, Replica] = {}
        for name in (*control, *(f"n{number}" for number in range(1, size + 1))):
            self.add(name)

    def add(self, name: str, rows: MemoryReplicaStore | SqliteReplica | None = None) -> None:
        """Begin a member with nothing, or with these rows."""
        if name in self.rows:
            self.close(name)
        self.files += 1
        if rows is None and self.folder is not None:
            rows = SqliteReplica(
                self.folder / f"{name}-{self.files}.db", "f", self.control, wall_ms=lambda: 0
            )
        self.rows[name] = rows or MemoryReplicaStore(lambda: 0)
        self.all[name] = self._begun(name)

    def close(self, *names: str) -> None:
        """Let go of the files of members, or of all."""
        for name in names or self.rows:
            rows = self.rows[name]
            if isinstance(rows, SqliteReplica):
                rows.close()

    def live(self, name: str) -> dict[str, tuple[int, str]]:
        """Return number and state of each tenant that a member has."""
        rows = self.rows[name]
        if isinstance(rows, MemoryReplicaStore):
            return {key: (one.index, one.state) for key, one in rows.live_entries().items()}
        return {row.name: (row.index, row.state) for row in rows.page("", 10_000)}

    def orphans(self, name: str) -> list[tuple[str, int]]:
        """Return name and number of what a member keeps aside."""
        rows = self.rows[name]
        if isinstance(rows, MemoryReplicaStore):
            return [(one.name, one.index) for _, _, one in rows.divergent_rows]
        return [(one["name"], one["revision"]) for one in rows.divergent_rows()]

    def _begun(self, name: str) -> Replica:
        return Replica(
            name, self.control, self.rows[name], Random(self.random.random()), now=self.now, own_name=name
        )

    def restart(self, name: str) -> None:
        """Lose what is not in the rows."""
        rows = self.rows[name]
        if isinstance(rows, SqliteReplica):
            rows.close()
            self.rows[name] = SqliteReplica(rows.path, "f", self.control, wall_ms=lambda: 0)
        self.all[name] = self._begun(name)

    def change(self, name: str, state: str = "active", by: str = "", **more: Any) -> LogEntry:
        """Have the writer of a name make a change."""
        stream = partition_of(name, self.control)
        holder = by or stream
        return self.all[holder].accept(stream, holder, entry(name, state=state, **more))

    def ask(self, asker: str, giver: str) -> tuple[Pull, EntriesReply] | None:
        """Have one ask another, past all waits; None where it is not behind it."""
        self.now += 60.0
        one, other = self.all[asker], self.all[giver]
        one.pulls.peers_ahead.clear()
        one.pulls.avoided.clear()
        one.pulls.due_s = self.now
        one.pulls.observe(giver, "", list(other.announce()), self.now)
        pull = one.pulls.next_pull(self.now)
        return None if pull is None else (pull, other.answer(pull.request, self.now))

    def pull(self, asker: str, giver: str) -> PullResult | None:
        """Let one exchange come to its end."""
        asked = self.ask(asker, giver)
        return None if asked is None else self.all[asker].apply_reply(*asked, self.now)

    def settle(self, *members: str, most: int = 200) -> None:
        """Have all ask all until nobody learns anything more."""
        among = members or tuple(self.all)
        for _ in range(most):
            moved = False
            for asker in among:
                for giver in among:
                    taken = self.pull(asker, giver) if asker != giver else None
                    moved |= taken is not None and taken.segments > 0
            if not moved:
                return
        raise AssertionError("they don't settle")
