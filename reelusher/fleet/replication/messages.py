"""What replicas say to each other over the sealed exchange of membership."""

from typing import Annotated

import msgspec

from reelusher.fleet.membership.messages import Address, Name, Number

MOST_PIECE = 1 << 16  # bytes of the entries of a piece; one entry is given in any case
MOST_TENANT = 48 << 10  # bytes of one tenant's JSON
MOST_REPLY = 4 * MOST_PIECE  # bytes of entries in one reply, half of what the exchange carries
MOST_BASES = 256  # take-overs of one stream, ever
MOST_CONTROL = 8  # control members
MOST_INSTEAD = 5  # members that one is sent to
MOST_CHANGE = 1 << 18  # bytes of a call that is carried to its writer, and of its answer

Partition = Name
Base = tuple[Number, Number]  # an epoch, and the number that its first change comes after
Vector = Annotated[list[Number], msgspec.Meta(max_length=1 + 2 * MOST_CONTROL)]


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """A tenant as it stands after a change; a `state` of "" is a tombstone."""

    number: Number
    name: Name
    at_ms: Number  # Unix time, by the clock of the writer
    who: Annotated[str, msgspec.Meta(max_length=256)]
    state: Annotated[str, msgspec.Meta(max_length=32)]
    tenant: Annotated[bytes, msgspec.Meta(max_length=MOST_TENANT)]  # JSON
    key: Annotated[str, msgspec.Meta(max_length=256)] = ""  # idempotency key of the call that made it
    epoch: Number = 0  # that the change was made in

    @property
    def size(self) -> int:
        """Return roughly the bytes that it takes on the wire."""
        return len(self.tenant) + len(self.name) + len(self.who) + len(self.key) + 40


class LogSegment(msgspec.Struct, array_like=True, frozen=True):
    """The newest entries of a stream numbered in `(since, upto]`, ascending; superseded ones are absent."""

    stream: Partition
    epoch: Number
    bases: Annotated[tuple[Base, ...], msgspec.Meta(max_length=MOST_BASES)]
    since: Number
    upto: Number
    entries: list[LogEntry]
    more: bool  # the giver has entries past `upto`
    horizon: Number = 0  # tombstones up to this number may be absent
    covered: Number = 0  # no row of the giver was removed by a change up to this number
    goal: Number = 0  # an absent entry is superseded by one up to this number


class EntriesRequest(msgspec.Struct, array_like=True, frozen=True, tag="entries"):
    """Asks for what lies past the asker's positions."""

    sender: Address
    control: Number  # digest of the list of control members
    vector: Vector
    covered: Annotated[
        list[Number], msgspec.Meta(max_length=MOST_CONTROL)
    ] = []  # see `LogSegment`, by stream


class EntriesReply(msgspec.Struct, array_like=True, frozen=True):
    """Pieces, or, where the giver has given enough of late, whom to ask instead."""

    pieces: Annotated[list[LogSegment], msgspec.Meta(max_length=MOST_CONTROL)]
    instead: Annotated[list[Address], msgspec.Meta(max_length=MOST_INSTEAD)] = []


class ChangeRequest(msgspec.Struct, array_like=True, frozen=True, tag="change"):
    """A call of the administration API, carried to the member that writes what it changes."""

    sender: Address
    method: Annotated[str, msgspec.Meta(max_length=16)]
    target: Annotated[str, msgspec.Meta(max_length=4096)]  # path and query
    headers: Annotated[dict[str, str], msgspec.Meta(max_length=64)]
    body: Annotated[bytes, msgspec.Meta(max_length=MOST_CHANGE)] = b""
    who: Annotated[str, msgspec.Meta(max_length=256)] = ""  # for the trail


class ChangeReply(msgspec.Struct, array_like=True, frozen=True):
    """Its answer."""

    status: int
    value: Annotated[bytes, msgspec.Meta(max_length=MOST_CHANGE)] = b"null"  # JSON
    headers: Annotated[dict[str, str], msgspec.Meta(max_length=64)] = {}
