"""The members that a node knows. Free of I/O; bounded; updates may be applied in any order."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random
from zlib import crc32

import msgspec

from reelusher.fleet.membership.messages import BUCKET_COUNT, MemberState, Update

# In all states. In a full table, a new live member replaces the one that has been dead or left for longest.
MAX_MEMBERS = 6144
DEAD_TTL_S = 3600.0  # dead and left members are kept this long, so that old updates do not revive them
MAX_DEAD = 1024  # dead and left members; those longest in that state are dropped first


class Member(msgspec.Struct, frozen=True, gc=False):
    """A member and its state. Frozen, since many simulated tables share one instance."""

    update: Update
    since_s: float  # when it entered its state
    accusers: tuple[str, ...] = ()

    @property
    def is_live(self) -> bool:
        """Return whether the member counts as live, which a suspect does."""
        return self.update.state < MemberState.DEAD


@dataclass(slots=True, frozen=True)
class MemberChange:
    """A change of a member's state; `previous` is None for a new member."""

    update: Update
    previous: MemberState | None


def bucket_of(address: str) -> int:
    """Return the bucket of a member, which is the same on every node."""
    return crc32(address.encode()) % BUCKET_COUNT


def digest_of(update: Update) -> int:
    """Return a 63-bit hash of a live member's address and incarnation.

    The digest of a bucket is the exclusive or of the hashes of its live members.
    """
    data = f"{update.address} {update.incarnation}".encode()
    return int.from_bytes(blake2b(data, digest_size=8).digest()) >> 1


class MemberTable:
    """All members except the node itself. Operations needed per datagram cost the same at any fleet size."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.members: dict[str, Member] = {}
        self._probe_order: list[str] = []  # addresses of live members
        self._probe_index = 0
        self.dead: list[str] = []  # addresses of dead members, without those that left
        self.digests = [0] * BUCKET_COUNT  # by bucket, over its live members
        self.rejected = 0  # number of updates that were rejected because the table was full

    def copy_from(self, other: "MemberTable", excluded: str) -> None:
        """Copy the members of another table, except the one with the address `excluded`."""
        self.members = dict(other.members)
        self._probe_order, self.dead, self.digests = other.live(), list(other.dead), list(other.digests)
        self._replace(self.members[excluded], None)
        self._random.shuffle(self._probe_order)

    def live_count(self) -> int:
        """Return the number of live members, without the node itself."""
        return len(self._probe_order)

    def fleet_size(self) -> int:
        """Return the number of live members, the node itself included."""
        return 1 + len(self._probe_order)

    def live(self) -> list[str]:
        """Return the addresses of the live members, without the node itself."""
        return list(self._probe_order)

    def apply(self, update: Update, now: float) -> MemberChange | None:
        """Apply an update; return the change of state, or None if there is none.

        A suspicion, death or departure in a newer incarnation counts as a change as well.
        """
        member = self.members.get(update.address)
        accusers = (update.accuser,) if update.accuser else ()
        if member is None:
            return self._add(Member(update, now, accusers))
        if not update.supersedes(member.update):
            return None
        previous = member.update.state
        same_state = previous is update.state  # then only the incarnation is newer
        self._replace(member, Member(update, member.since_s if same_state else now, accusers))
        if same_state and update.state is MemberState.ALIVE:
            return None
        return MemberChange(update, previous)

    def _add(self, member: Member) -> MemberChange | None:
        if len(self.members) >= MAX_MEMBERS and not (member.is_live and self._drop_oldest(1)):
            self.rejected += 1
            return None
        self._replace(None, member)
        return MemberChange(member.update, None)

    def _replace(self, before: Member | None, after: Member | None) -> None:
        """Add, replace or remove the entry of a member, and update the data derived from all entries."""
        member = after or before
        assert member is not None
        address = member.update.address
        if after is None:
            del self.members[address]
        else:
            self.members[address] = after
        self._update_probe_order(address, before, after)
        if before is not None and before.update.state is MemberState.DEAD:
            self.dead.remove(address)
        if after is not None and after.update.state is MemberState.DEAD:
            self.dead.append(address)
        self._update_digest(address, before, after)

    def _update_probe_order(self, address: str, before: Member | None, after: Member | None) -> None:
        was_live = before is not None and before.is_live
        is_live = after is not None and after.is_live
        if was_live and not is_live:
            index = self._probe_order.index(address)
            del self._probe_order[index]
            self._probe_index -= index < self._probe_index
        elif is_live and not was_live:
            # at a random position, so that members that join are spread over the probe round
            self._probe_order.insert(self._random.randint(0, len(self._probe_order)), address)

    def _update_digest(self, address: str, before: Member | None, after: Member | None) -> None:
        live = [member.update for member in (before, after) if member is not None and member.is_live]
        if len(live) == 2 and live[0].incarnation == live[1].incarnation:
            return
        for update in live:
            self.digests[bucket_of(address)] ^= digest_of(update)

    def add_accuser(self, address: str, accuser: str) -> None:
        """Record one more member whose probe of a suspect failed."""
        member = self.members[address]
        self.members[address] = msgspec.structs.replace(member, accusers=(*member.accusers, accuser))

    def clear_suspicion(self, address: str, now: float) -> None:
        """Set a suspect back to alive."""
        member = self.members.get(address)
        if member is not None and member.update.state is MemberState.SUSPECT:
            update = msgspec.structs.replace(member.update, state=MemberState.ALIVE, accuser="")
            self.members[address] = Member(update, now)

    def next_target(self) -> str | None:
        """Return the next member to probe, if any: each live member once a round, in a new random order."""
        if not self._probe_order:
            return None
        if self._probe_index >= len(self._probe_order):
            self._random.shuffle(self._probe_order)
            self._probe_index = 0
        self._probe_index += 1
        return self._probe_order[self._probe_index - 1]

    def sample(self, count: int, *excluded: str) -> list[str]:
        """Return up to `count` random live members, without those excluded."""
        drawn = self._random.sample(self._probe_order, min(count + len(excluded), len(self._probe_order)))
        return [address for address in drawn if address not in excluded][:count]

    def in_buckets(self, buckets: Iterable[int]) -> list[Update]:
        """Return the updates of all members in some buckets, dead and left ones included."""
        wanted = set(buckets)
        return [member.update for address, member in self.members.items() if bucket_of(address) in wanted]

    def _drop_oldest(self, count: int) -> bool:
        """Forget the `count` members dead or left for longest; return whether there were any."""
        not_live = sorted(
            (member.since_s, address) for address, member in self.members.items() if not member.is_live
        )
        for _, address in not_live[:count]:
            self._replace(self.members[address], None)
        return bool(not_live)

    def drop_expired(self, now: float) -> None:
        """Forget members dead or left for longer than `DEAD_TTL_S`, and the oldest beyond `MAX_DEAD`."""
        not_live_since = [member.since_s for member in self.members.values() if not member.is_live]
        expired = sum(now - since_s > DEAD_TTL_S for since_s in not_live_since)
        if excess := max(expired, len(not_live_since) - MAX_DEAD):
            self._drop_oldest(excess)

    def duplicate_names(self) -> dict[str, list[str]]:
        """Return the names that two or more live members have, with their addresses."""
        by_name: dict[str, list[str]] = {}
        for address in self._probe_order:
            by_name.setdefault(self.members[address].update.name, []).append(address)
        return {name: sorted(addresses) for name, addresses in by_name.items() if len(addresses) > 1}
