"""Which members have which changes, as far as they were heard to. Free of I/O but for the wait of a caller.

Only holders keep one. What a member has is told by the vector that rides on its datagrams; whoever was not
heard since the last change is called, paced, and quicker while someone wants to know.
"""

import threading
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from reelusher.fleet.membership.messages import Update
from reelusher.fleet.replication.positions import Position
from reelusher.fleet.replication.replica import Replica, TokenBucket

MOST_MEMBERS = 4096
GRACE_S = 3.0  # after a change, in which nearly all members have it and are heard by themselves
LOOK_S = 1.0  # between looks at all members, while some are not known to have the newest change
CALLS_PER_S, QUICK_PER_S = 10.0, 100.0  # calls; the latter while someone wants to know
QUICK_S = 20.0  # after someone wanted to know
WAIT_CALLS = 3  # members called for each copy that is waited for
MOST_SLOWEST = 10  # members named
MOST_MADE = 64  # changes of a stream whose time is kept


@dataclass(slots=True)
class Everywhere:
    """The newest change of a stream that all live members were heard to have."""

    position: Position
    at_s: float
    took_s: float  # from when it was made, if that was here and not long ago


class ReplicationProgress:
    """What one holder knows of the others."""

    def __init__(self, replica: Replica, own_name: str) -> None:
        self._replica, self._own_name = replica, own_name
        self._at = {stream: 1 + 2 * place for place, stream in enumerate(replica.control)}
        self._changed = threading.Condition()
        self._vectors: dict[str, list[int]] = {}  # of members, by place; equal ones are one list
        self._heard_s: dict[str, float] = {}
        self._made: dict[str, deque[tuple[Position, float]]] = {
            stream: deque(maxlen=MOST_MADE) for stream in replica.control
        }
        self._everywhere: dict[str, Everywhere] = {}
        self._waiting: list[tuple[str, Position, int]] = []
        self._calls = TokenBucket((CALLS_PER_S, CALLS_PER_S))
        self._quick = TokenBucket((QUICK_PER_S, QUICK_PER_S))
        self._quick_until_s = self._looked_s = 0.0
        self._called_s: dict[str, float] = {}

    # From any thread

    def heard(self, place: str, vector: list[int], now: float) -> None:
        """Note what a member announces."""
        own = self._replica.announce()
        if len(vector) != len(own) or vector[0] != own[0] or place == self._replica.own_address:
            return
        with self._changed:
            known = self._vectors.pop(place, None)
            self._vectors[place] = own if vector == own else known if vector == known and known else vector
            self._heard_s[place] = now
            if len(self._vectors) > MOST_MEMBERS:
                oldest = next(iter(self._vectors))
                del self._vectors[oldest], self._heard_s[oldest]
            if self._waiting:
                self._changed.notify_all()

    def made(self, stream: str, position: Position, now: float) -> None:
        """Note a change that was made here."""
        with self._changed:
            self._made[stream].append((position, now))

    def wait(self, stream: str, position: Position, wanted: int, within_s: float) -> int:
        """Wait until so many other members have a change; return how many have it then."""
        asked = stream, position, wanted
        with self._changed:
            self._waiting.append(asked)
            try:
                self._changed.wait_for(lambda: self._count(stream, position) >= wanted, within_s)
                return self._count(stream, position)
            finally:
                self._waiting.remove(asked)

    def attend(self, now: float) -> None:
        """Call more quickly for a while: someone wants to know."""
        self._quick_until_s = now + QUICK_S

    def _has(self, place: str, stream: str, position: Position) -> bool:
        vector, at = self._vectors.get(place), self._at[stream]
        return vector is not None and (vector[at], vector[at + 1]) >= position

    def _count(self, stream: str, position: Position) -> int:
        return sum(self._has(place, stream, position) for place in self._vectors)

    def _held(self) -> list[tuple[str, Position]]:
        states = self._replica.states
        return [
            (stream, Position(states[stream].term, states[stream].index))
            for stream in self._replica.control
            if self._replica.leads(stream, self._own_name)
        ]

    # The service's thread

    def wants(self, now: float) -> bool:
        """Tell whether `tick` is wanted now: live members are listed for it."""
        return bool(self._waiting) or (
            now - self._looked_s >= LOOK_S
            and any(
                self._everywhere[stream].position != position if stream in self._everywhere else True
                for stream, position in self._held()
                if position.log_index
            )
        )

    def tick(self, live: Sequence[Update], now: float) -> list[str]:
        """Return the places of members to call now; `live` are all live ones."""
        self._looked_s = now
        places = [said.place for said in live if said.place != self._replica.own_address]
        behind: dict[str, float] = {}  # when each was last heard or called
        with self._changed:
            for gone in self._vectors.keys() - set(places):
                del self._vectors[gone], self._heard_s[gone]
            for stream, position in self._held():
                lack = [place for place in places if not self._has(place, stream, position)]
                made = dict(self._made[stream])
                if not lack and position.log_index:
                    self._note(stream, position, now, made.get(position))
                elif now - made.get(position, 0.0) >= GRACE_S:
                    behind |= dict.fromkeys(lack, 0.0)
            called: list[str] = []
            for stream, position, wanted in self._waiting:
                lack = [place for place in places if not self._has(place, stream, position)]
                lack.sort(key=lambda place: self._called_s.get(place, 0.0))
                called += lack[: WAIT_CALLS * wanted]
            self._called_s = {place: at for place, at in self._called_s.items() if now - at < 60.0}
            for place in behind:
                behind[place] = max(self._heard_s.get(place, 0.0), self._called_s.get(place, 0.0))
        allowed = self._quick if now < self._quick_until_s else self._calls
        called += sorted(behind, key=lambda place: behind[place])[: max(0, int(allowed.left(now)))]
        called = list(dict.fromkeys(called))
        allowed.take(len(called))
        self._called_s |= dict.fromkeys(called, now)
        return called

    def _note(self, stream: str, position: Position, now: float, made_s: float | None) -> None:
        known = self._everywhere.get(stream)
        if known is None or known.position != position:
            took_s = now - made_s if made_s is not None else 0.0
            self._everywhere[stream] = Everywhere(position, now, took_s)

    def told(self, live: Iterable[Update], now: float) -> list[dict[str, object]]:
        """Return, for each stream that this member holds, who has its newest change."""
        self.attend(now)
        others = [said for said in live if said.place != self._replica.own_address]
        made = []
        with self._changed:
            for stream, position in self._held():
                lack = [said for said in others if not self._has(said.place, stream, position)]
                lack.sort(key=lambda said: self._heard_s.get(said.place, 0.0))
                newest = dict(self._made[stream]).get(position)
                everywhere = self._everywhere.get(stream)
                made.append(
                    {
                        "stream": stream,
                        "position": f"{position.term}.{position.log_index}",
                        "members": len(others),
                        "have": len(others) - len(lack),
                        "made_s": None if newest is None else round(now - newest, 1),
                        "slowest": [self._slow(said, stream, now) for said in lack[:MOST_SLOWEST]],
                        "everywhere": None
                        if everywhere is None
                        else {
                            "position": "{}.{}".format(*everywhere.position),
                            "since_s": round(now - everywhere.at_s, 1),
                            "took_s": round(everywhere.took_s, 1),
                        },
                    }
                )
        return made

    def _slow(self, said: Update, stream: str, now: float) -> dict[str, object]:
        vector, at = self._vectors.get(said.place), self._at[stream]
        heard_s = self._heard_s.get(said.place)
        return {
            "name": said.name,
            "address": said.place,
            "position": None if vector is None else f"{vector[at]}.{vector[at + 1]}",
            "heard_s": None if heard_s is None else round(now - heard_s, 1),
        }
