"""A fleet of replicas that pull from each other on a virtual clock, in memory or in SQLite files."""

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


def tenant_json(name: str, prefix: str = "", **fields: Any) -> bytes:
    """Return the JSON of a tenant with one host, as entries carry it; `fields` are added."""
    return msgspec.json.encode(
        {
            "name": name,
            "backend": "w",
            "hosts": [f"{name}.example"],
            "prefix": prefix or "/",
            "routes": [],
            **fields,
        }
    )


def entry(name: str, index: int = 0, state: str = "active", **fields: Any) -> LogEntry:
    """Return a change of a tenant; a state of "" makes it a tombstone."""
    return LogEntry(index, name, 1_000, "op", state, tenant_json(name, **fields) if state else b"")


def names_of(partition: str, count: int, control: Sequence[str] = CONTROL) -> list[str]:
    """Return `count` tenant names that belong to a partition."""
    found: list[str] = []
    number = 0
    while len(found) < count:
        if partition_of(f"t{number}", control) == partition:
            found.append(f"t{number}")
        number += 1
    return found


class Replicas:
    """Control members c1, c2, which lead, and other members n1, n2 ...; their addresses are their names."""

    def __init__(self, size: int, folder: Path | None = None, control: Sequence[str] = CONTROL) -> None:
        """`size`: the number of other members. `folder`: where each has its file; None: stores in memory."""
        self.now, self.random, self.control, self.folder = 100.0, Random(1), control, folder
        self.file_count = 0
        self.stores: dict[str, MemoryReplicaStore | SqliteReplica] = {}
        self.replicas: dict[str, Replica] = {}
        for name in (*control, *(f"n{number}" for number in range(1, size + 1))):
            self.add(name)

    def add(self, name: str, store: MemoryReplicaStore | SqliteReplica | None = None) -> None:
        """Add or replace a member, with the given store or an empty one."""
        if name in self.stores:
            self.close(name)
        self.file_count += 1
        if store is None and self.folder is not None:
            store = SqliteReplica(
                self.folder / f"{name}-{self.file_count}.db", "f", self.control, wall_ms=lambda: 0
            )
        self.stores[name] = store or MemoryReplicaStore(lambda: 0)
        self.replicas[name] = self._make_replica(name)

    def close(self, *names: str) -> None:
        """Close the stores of these members, or of all."""
        for name in names or self.stores:
            store = self.stores[name]
            if isinstance(store, SqliteReplica):
                store.close()

    def live_rows(self, name: str) -> dict[str, tuple[int, str]]:
        """Return index and state of each tenant that a member has."""
        store = self.stores[name]
        if isinstance(store, MemoryReplicaStore):
            return {key: (found.index, found.state) for key, found in store.live_entries().items()}
        return {row.name: (row.index, row.state) for row in store.page("", 10_000)}

    def contents(self, name: str) -> dict[str, tuple[int, int, str, bytes]]:
        """Return term, index, state and JSON of each tenant that a member has."""
        store = self.stores[name]
        if isinstance(store, MemoryReplicaStore):
            entries = store.live_entries()
            return {
                key: (found.term, found.index, found.state, found.tenant) for key, found in entries.items()
            }
        return {row.name: (row.term, row.index, row.state, row.tenant) for row in store.page("", 10_000)}

    def divergent_rows(self, name: str) -> list[tuple[str, int]]:
        """Return name and index of the divergent rows of a member."""
        store = self.stores[name]
        if isinstance(store, MemoryReplicaStore):
            return [(found.name, found.index) for _, _, found in store.divergent_rows]
        return [(row["name"], row["revision"]) for row in store.divergent_rows()]

    def _make_replica(self, name: str) -> Replica:
        return Replica(
            name, self.control, self.stores[name], Random(self.random.random()), now=self.now, own_name=name
        )

    def restart(self, name: str) -> None:
        """Restart a member with its store; everything else is lost."""
        store = self.stores[name]
        if isinstance(store, SqliteReplica):
            store.close()
            reopened = SqliteReplica(store.path, "f", self.control, wall_ms=lambda: 0)
            assert not reopened.damage_at_open
            self.stores[name] = reopened
        self.replicas[name] = self._make_replica(name)

    def change(self, name: str, state: str = "active", by: str = "", **fields: Any) -> LogEntry:
        """Make a change at the member `by`, by default the first leader of the name's partition."""
        partition = partition_of(name, self.control)
        leader = by or partition
        return self.replicas[leader].accept(partition, leader, entry(name, state=state, **fields))

    def request_entries(self, puller: str, sender: str) -> tuple[Pull, EntriesReply] | None:
        """Return a pull and its reply, which is not applied; None if the puller is not behind the sender.

        The clock advances by 60 s, and the puller forgets which members were ahead and which it avoids, so
        that it pulls from the sender at once.
        """
        self.now += 60.0
        receiver, source = self.replicas[puller], self.replicas[sender]
        receiver.pulls.peers_ahead.clear()
        receiver.pulls.avoided.clear()
        receiver.pulls.due_s = self.now
        receiver.pulls.observe(sender, "", list(source.announce()), self.now)
        pull = receiver.pulls.next_pull(self.now)
        return None if pull is None else (pull, source.answer(pull.request, self.now))

    def pull(self, puller: str, sender: str) -> PullResult | None:
        """Pull once and apply the reply."""
        exchange = self.request_entries(puller, sender)
        return None if exchange is None else self.replicas[puller].apply_reply(*exchange, self.now)

    def settle(self, *members: str, max_rounds: int = 200) -> None:
        """Let these members, or all, pull from each other until a round applies no segment.

        Raises AssertionError if that takes more than `max_rounds` rounds.
        """
        participants = members or tuple(self.replicas)
        for _ in range(max_rounds):
            progressed = False
            for puller in participants:
                for sender in participants:
                    result = self.pull(puller, sender) if puller != sender else None
                    progressed |= result is not None and result.segments > 0
            if not progressed:
                return
        raise AssertionError("the replicas do not converge")
