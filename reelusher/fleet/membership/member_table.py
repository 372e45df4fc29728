"""The members that a node knows of, free of I/O. Bounded; what is known merges in any order."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random
from zlib import crc32

import msgspec

from reelusher.fleet.membership.messages import BUCKETS, MemberState, Update

MOST_MEMBERS = 6144  # 3,600 that live, 1,024 that are gone, and half as many again that come before those go
KEPT_S = 3600.0  # one that is dead or has left is remembered so long: older news of it must not revive it
DEAD_MOST = 1024  # of them; the one gone longest is dropped first


class Member(msgspec.Struct, frozen=True, gc=False):
    """One member and how it stands. Frozen: many tables of a model share one."""

    said: Update
    since_s: float  # of its state
    accusers: tuple[str, ...] = ()

    @property
    def here(self) -> bool:
        """Tell whether it counts as live: a suspect does."""
        return self.said.state < MemberState.DEAD


@dataclass(slots=True, frozen=True)
class MemberChange:
    """A state that has changed; `before` is None for one that is new."""

    said: Update
    before: MemberState | None


def bucket_of(place: str) -> int:
    """Return the bucket that a member is in, the same on every node."""
    return crc32(place.encode()) % BUCKETS


def mark_of(said: Update) -> int:
    """Return 63 bits for a live member's place and incarnation; a digest is their exclusive or."""
    data = f"{said.place} {said.incarnation}".encode()
    return int.from_bytes(blake2b(data, digest_size=8).digest()) >> 1


class MemberTable:
    """All members but the node itself. What is asked for each datagram costs the same at any size."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.members: dict[str, Member] = {}
        self._order: list[str] = []  # the live ones, to be probed in turn
        self._at = 0
        self.dead: list[str] = []  # held for dead, not those that left
        self.digests = [0] * BUCKETS  # over the live ones
        self.refused = 0  # for want of room

    def fill(self, other: "MemberTable", besides: str) -> None:
        """Begin with what another table knows, without one member."""
        self.members = dict(other.members)
        self._order, self.dead, self.digests = other.here(), list(other.dead), list(other.digests)
        self._set(self.members[besides], None)
        self._random.shuffle(self._order)

    def count(self) -> int:
        """Return how many count as live."""
        return len(self._order)

    def here(self) -> list[str]:
        """Return the places of those that count as live."""
        return list(self._order)

    def _set(self, before: Member | None, after: Member | None) -> None:
        """Put one state of a member in place of another, and keep what is reckoned from all in step."""
        was, will = before is not None and before.here, after is not None and after.here
        one = after or before
        assert one is not None
        place = one.said.place
        if after is None:
            del self.members[place]
        else:
            self.members[place] = after
        if was and not will:
            at = self._order.index(place)
            del self._order[at]
            self._at -= at < self._at
        elif will and not was:
            # at a random place of the round, so that joins spread over it
            self._order.insert(self._random.randint(0, len(self._order)), place)
        if before is not None and before.said.state is MemberState.DEAD:
            self.dead.remove(place)
        if after is not None and after.said.state is MemberState.DEAD:
            self.dead.append(place)
        marked = {one.said.incarnation: one.said for one in (before, after) if one is not None and one.here}
        if not (was and will and len(marked) == 1):
            for said in marked.values():
                self.digests[bucket_of(place)] ^= mark_of(said)

    def take(self, said: Update, now: float) -> MemberChange | None:
        """Take what someone says; None where it is nothing new."""
        member = self.members.get(said.place)
        accusers = (said.accuser,) if said.accuser else ()
        if member is None:
            if len(self.members) >= MOST_MEMBERS and not (
                said.state < MemberState.DEAD and self._drop_oldest(1)
            ):
                self.refused += 1
                return None
            self._set(None, Member(said, now, accusers))
            return MemberChange(said, None)
        if not said.beats(member.said):
            return None
        before = member.said.state
        self._set(member, Member(said, member.since_s if before is said.state else now, accusers))
        if before is said.state:  # a newer life, or a suspicion of it
            return MemberChange(said, before) if said.state is not MemberState.ALIVE else None
        return MemberChange(said, before)

    def accuse(self, place: str, accuser: str) -> None:
        """Note one more who does not hear from a suspect."""
        member = self.members[place]
        self.members[place] = msgspec.structs.replace(member, accusers=(*member.accusers, accuser))

    def clear(self, place: str, now: float) -> None:
        """Take a suspect for alive again."""
        member = self.members.get(place)
        if member is not None and member.said.state is MemberState.SUSPECT:
            said = msgspec.structs.replace(member.said, state=MemberState.ALIVE, accuser="")
            self.members[place] = Member(said, now)

    def next_target(self) -> str | None:
        """Return whom to probe next: each once a round, in an order drawn anew for each."""
        if not self._order:
            return None
        if self._at >= len(self._order):
            self._random.shuffle(self._order)
            self._at = 0
        self._at += 1
        return self._order[self._at - 1]

    def some(self, count: int, *besides: str) -> list[str]:
        """Return so many live members by chance, without those named."""
        drawn = self._random.sample(self._order, min(count + len(besides), len(self._order)))
        return [place for place in drawn if place not in besides][:count]

    def in_buckets(self, buckets: Iterable[int]) -> list[Update]:
        """Return all that is known of the members in these buckets, the gone among them."""
        wanted = set(buckets)
        return [member.said for place, member in self.members.items() if bucket_of(place) in wanted]

    def _drop_oldest(self, count: int) -> bool:
        """Forget so many of those gone longest; tell whether there were any."""
        gone = sorted((member.since_s, place) for place, member in self.members.items() if not member.here)
        for _, place in gone[:count]:
            self._set(self.members[place], None)
        return bool(gone)

    def drop_old(self, now: float) -> None:
        """Forget those that have been gone for long, and the oldest of too many."""
        gone = [member.since_s for member in self.members.values() if not member.here]
        late = sum(now - since_s > KEPT_S for since_s in gone)
        if spare := max(late, len(gone) - DEAD_MOST):
            self._drop_oldest(spare)

    def namesakes(self) -> dict[str, list[str]]:
        """Return the names that two or more live members have, with their places."""
        places: dict[str, list[str]] = {}
        for place in self._order:
            places.setdefault(self.members[place].said.name, []).append(place)
        return {name: sorted(found) for name, found in places.items() if len(found) > 1}
