"""Replicas that exchange on a clock of the test's, with or without a file each."""

from collections.abc import Callable, Sequence
from random import Random

from reelusher.fleet.replication.messages import EntriesReply, Entry
from reelusher.fleet.replication.rows import MemoryRows, Rows
from reelusher.fleet.replication.streams import Pull, Replica, Taken, stream_of

CONTROL = ("c1", "c2")


def tenant_json(name: str, prefix: str = "", **more: object) -> bytes:
    """Return a tenant of one host, as entries carry it."""
    import msgspec

    return msgspec.json.encode({"name": name, "backend": "w", "hosts": [f"{name}.example"],
                                "prefix": prefix or "/", "routes": [], **more})


def entry(name: str, number: int = 0, state: str = "active", **more: object) -> Entry:
    """Return a change; a state of "" removes."""
    return Entry(number, name, 1_000, "op", state, tenant_json(name, **more) if state else b"")


def names_of(stream: str, count: int, control: Sequence[str] = CONTROL) -> list[str]:
    """Return so many names that belong to a stream."""
    found: list[str] = []
    number = 0
    while len(found) < count:
        if stream_of(f"t{number}", control) == stream:
            found.append(f"t{number}")
        number += 1
    return found


class Replicas:
    """Members called c1, c2 (which write) and n1, n2 ...; each place is the member's name."""

    def __init__(self, size: int, control: Sequence[str] = CONTROL, seed: int = 1,
                 rows_of: Callable[[str], Rows] = lambda name: MemoryRows()) -> None:
        self.now, self.random, self.control = 100.0, Random(seed), control
        self.rows_of = rows_of
        names = [*control, *(f"n{number}" for number in range(1, size + 1))]
        self.rows = {name: rows_of(name) for name in names}
        self.all = {name: self._begun(name) for name in names}

    def _begun(self, name: str) -> Replica:
        return Replica(name, self.control, self.rows[name], Random(self.random.random()), now=self.now)

    def restart(self, name: str) -> None:
        """Lose what is not in the rows."""
        self.all[name] = self._begun(name)

    def change(self, name: str, state: str = "active", by: str = "", **more: object) -> Entry:
        """Have the writer of a name make a change."""
        stream = stream_of(name, self.control)
        holder = by or stream
        return self.all[holder].accept(stream, holder, entry(name, state=state, **more))

    def ask(self, asker: str, giver: str) -> tuple[Pull, EntriesReply] | None:
        """Have one ask another, past all waits; None where it is not behind it."""
        self.now += 60.0
        one, other = self.all[asker], self.all[giver]
        one._ahead.clear()
        one._shunned.clear()
        one._due_s = self.now
        one.heard(giver, "", list(other.announce()), self.now)
        pull = one.next_pull(self.now)
        return None if pull is None else (pull, other.asked(pull.request, self.now))

    def pull(self, asker: str, giver: str) -> Taken | None:
        """Let one exchange come to its end."""
        asked = self.ask(asker, giver)
        return None if asked is None else self.all[asker].take(*asked, self.now)

    def settle(self, *members: str, most: int = 200) -> None:
        """Have all ask all until nobody learns anything more."""
        among = members or tuple(self.all)
        for _ in range(most):
            moved = False
            for asker in among:
                for giver in among:
                    taken = self.pull(asker, giver) if asker != giver else None
                    moved |= taken is not None and taken.pieces > 0
            if not moved:
                return
        raise AssertionError("they don't settle")
