"""The messages of replication, carried by the authenticated requests of membership.

The order of fields, the tags and the bounds are the wire format.
"""

from typing import Annotated

import msgspec

from reelusher.fleet.membership.messages import Address, Name, Number

MAX_SEGMENT_BYTES = 1 << 16  # of the entries; a single entry may exceed it
MAX_TENANT_BYTES = 48 << 10  # of JSON
MAX_REPLY_BYTES = 4 * MAX_SEGMENT_BYTES  # of the entries, half of what membership carries
MAX_BASES = 256  # take-overs of one partition
MAX_CONTROL_MEMBERS = 8
MAX_ALTERNATIVES = 5
ENTRY_OVERHEAD_BYTES = 40  # approximate, of an entry's numbers and headers
MAX_CHANGE_BYTES = 1 << 18  # of the body of a forwarded call, and of its answer

Partition = Name
Base = tuple[Number, Number]  # a term, and the index that its first change follows
Vector = Annotated[list[Number], msgspec.Meta(max_length=1 + 2 * MAX_CONTROL_MEMBERS)]


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """A tenant as it stands after a change; a `state` of "" is a tombstone."""

    index: Number
    name: Name
    at_ms: Number  # Unix time, by the clock of the leader
    who: Annotated[str, msgspec.Meta(max_length=256)]
    state: Annotated[str, msgspec.Meta(max_length=32)]
    tenant: Annotated[bytes, msgspec.Meta(max_length=MAX_TENANT_BYTES)]  # JSON
    key: Annotated[str, msgspec.Meta(max_length=256)] = ""  # idempotency key of the call
    term: Number = 0  # in which the change was made

    @property
    def size(self) -> int:
        """Return the approximate size in bytes on the wire."""
        return len(self.tenant) + len(self.name) + len(self.who) + len(self.key) + ENTRY_OVERHEAD_BYTES


class LogSegment(msgspec.Struct, array_like=True, frozen=True):
    """The newest entries with indexes in `(since, through_index]`, ascending, without superseded ones."""

    partition: Partition
    term: Number
    bases: Annotated[tuple[Base, ...], msgspec.Meta(max_length=MAX_BASES)]
    since: Number
    through_index: Number
    entries: list[LogEntry]
    more: bool  # the sender has entries past `through_index`
    horizon: Number = 0  # tombstones up to this index may be absent
    covered: Number = 0  # no row of the sender was removed by a change up to this index
    goal: Number = 0  # an absent entry is superseded by one up to this index


class EntriesRequest(msgspec.Struct, array_like=True, frozen=True, tag="entries"):
    """Requests the entries past the positions of the sender."""

    sender: Address
    control_digest: Number  # see `positions.control_digest`
    vector: Vector
    covered: Annotated[
        list[Number], msgspec.Meta(max_length=MAX_CONTROL_MEMBERS)
    ] = []  # of each partition, see `LogSegment`


class EntriesReply(msgspec.Struct, array_like=True, frozen=True):
    """Segments, or, where the sender has reached its limits, addresses of members to ask instead."""

    segments: Annotated[list[LogSegment], msgspec.Meta(max_length=MAX_CONTROL_MEMBERS)]
    alternatives: Annotated[list[Address], msgspec.Meta(max_length=MAX_ALTERNATIVES)] = []


class ChangeRequest(msgspec.Struct, array_like=True, frozen=True, tag="change"):
    """A call of the administration API, forwarded to the leader of the partition that it changes."""

    sender: Address
    method: Annotated[str, msgspec.Meta(max_length=16)]
    target: Annotated[str, msgspec.Meta(max_length=4096)]  # path and query
    headers: Annotated[dict[str, str], msgspec.Meta(max_length=64)]
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_CHANGE_BYTES)] = b""
    who: Annotated[str, msgspec.Meta(max_length=256)] = ""  # for the audit trail


class ChangeReply(msgspec.Struct, array_like=True, frozen=True):
    """The answer to a `ChangeRequest`."""

    status: int
    value: Annotated[bytes, msgspec.Meta(max_length=MAX_CHANGE_BYTES)] = b"null"  # JSON
    headers: Annotated[dict[str, str], msgspec.Meta(max_length=64)] = {}
