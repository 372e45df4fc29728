"""The members that a node knows of, free of I/O. Bounded; what is known merges in any order."""

from dataclasses import dataclass, field
from random import Random

from reelusher.fleet.membership.messages import State, Update

MOST_MEMBERS = 4096
KEPT_S = 3600.0  # one that is dead or has left is remembered so long: older news of it must not revive it
DEAD_MOST = 1024  # of them; the one gone longest is dropped first


@dataclass(slots=True)
class Member:
    """One member and how it stands."""

    said: Update
    since_s: float  # of its state
    accusers: set[str] = field(default_factory=set)

    @property
    def here(self) -> bool:
        """Tell whether it counts as live: a suspect does."""
        return self.said.state < State.DEAD


@dataclass(slots=True, frozen=True)
class Change:
    """A state that has changed; `before` is None for one that is new."""

    said: Update
    before: State | None


class Table:
    """All members but the node itself."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.members: dict[str, Member] = {}
        self._order: list[str] = []  # to be probed, in turn
        self._at = 0
        self.refused = 0  # for want of room

    def here(self) -> list[str]:
        """Return the places of those that count as live."""
        return [place for place, member in self.members.items() if member.here]

    def take(self, said: Update, now: float) -> Change | None:
        """Take what someone says; None where it is nothing new."""
        member = self.members.get(said.place)
        if member is None:
            if len(self.members) >= MOST_MEMBERS:
                self.refused += 1
                return None
            self.members[said.place] = Member(said, now, {said.accuser} if said.accuser else set())
            # at a random place of the round, so that joins spread over it
            self._order.insert(self._random.randint(0, len(self._order)), said.place)
            return Change(said, None)
        if not said.beats(member.said):
            return None
        before = member.said.state
        member.said = said
        member.accusers = {said.accuser} if said.accuser else set()
        if before is said.state:  # a newer life, or a suspicion of it
            return Change(said, before) if said.state is not State.ALIVE else None
        member.since_s = now
        return Change(said, before)

    def next_target(self) -> str | None:
        """Return whom to probe next: each once a round, in an order drawn anew for each."""
        for _ in range(len(self._order)):
            if self._at >= len(self._order):
                self._random.shuffle(self._order)
                self._at = 0
            place = self._order[self._at]
            self._at += 1
            if self.members[place].here:
                return place
        return None

    def some(self, count: int, *besides: str) -> list[str]:
        """Return so many live members by chance, without those named."""
        able = [place for place in self.here() if place not in besides]
        return self._random.sample(able, min(count, len(able)))

    def drop_old(self, now: float) -> None:
        """Forget those that have been gone for long, and the oldest of too many."""
        gone = sorted((member.since_s, place) for place, member in self.members.items() if not member.here)
        spare = max(0, len(gone) - DEAD_MOST)
        for number, (since_s, place) in enumerate(gone):
            if number < spare or now - since_s > KEPT_S:
                del self.members[place]
        self._order = [place for place in self._order if place in self.members]

    def namesakes(self) -> dict[str, list[str]]:
        """Return the names that two or more live members have, with their places."""
        places: dict[str, list[str]] = {}
        for place, member in self.members.items():
            if member.here:
                places.setdefault(member.said.name, []).append(place)
        return {name: sorted(found) for name, found in places.items() if len(found) > 1}
