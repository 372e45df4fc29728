"""The messages of replication, sent as authenticated requests of the membership protocol.

The order of the fields, the tags and the bounds define the wire format.
"""

from typing import Annotated

import msgspec

from reelusher.fleet.membership.messages import Address, Name, Number

MAX_SEGMENT_BYTES = 1 << 16  # total size of a segment's entries; a single entry may exceed it
MAX_TENANT_BYTES = 48 << 10  # size of a tenant's JSON
# total size of a reply's entries, which one entry may exceed; half of what membership carries
MAX_REPLY_BYTES = 4 * MAX_SEGMENT_BYTES
MAX_BASES = 256  # number of times that one partition can be taken over
MAX_CONTROL_MEMBERS = 8
MAX_ALTERNATIVES = 5
ENTRY_OVERHEAD_BYTES = 40  # approximate size of an entry's numbers and headers on the wire
MAX_CHANGE_BYTES = 1 << 18  # size of the body of a forwarded API request, and of its reply

Partition = Name
Base = tuple[Number, Number]  # a term, and the last index before its first change
Vector = Annotated[list[Number], msgspec.Meta(max_length=1 + 2 * MAX_CONTROL_MEMBERS)]


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """A tenant's content and state after a change; the `state` of a tombstone is ""."""

    index: Number
    name: Name
    at_ms: Number  # Unix time of the change, by the leader's clock
    who: Annotated[str, msgspec.Meta(max_length=256)]  # the author of the change
    state: Annotated[str, msgspec.Meta(max_length=32)]
    tenant: Annotated[bytes, msgspec.Meta(max_length=MAX_TENANT_BYTES)]  # the tenant as JSON
    key: Annotated[str, msgspec.Meta(max_length=256)] = ""  # idempotency key of the API request
    term: Number = 0  # the term in which the change was made

    @property
    def size(self) -> int:
        """Return the approximate size in bytes on the wire."""
        return len(self.tenant) + len(self.name) + len(self.who) + len(self.key) + ENTRY_OVERHEAD_BYTES


class LogSegment(msgspec.Struct, array_like=True, frozen=True):
    """The entries with indexes in `(since, through_index]`, ascending, except for superseded ones."""

    partition: Partition
    term: Number
    bases: Annotated[tuple[Base, ...], msgspec.Meta(max_length=MAX_BASES)]
    since: Number
    through_index: Number
    entries: list[LogEntry]
    more: bool  # the sender has entries past `through_index`
    horizon: Number = 0  # the sender may have collected tombstones up to this index
    covered: Number = 0  # the sender's rows reflect all removals up to this index
    goal: Number = 0  # entries left out are superseded by entries up to this index


class EntriesRequest(msgspec.Struct, array_like=True, frozen=True, tag="entries"):
    """Requests the entries past the positions in the sender's version vector."""

    sender: Address
    control_digest: Number  # see `positions.control_digest`
    vector: Vector
    covered: Annotated[
        list[Number], msgspec.Meta(max_length=MAX_CONTROL_MEMBERS)
    ] = []  # the sender's `covered` in each partition, see `LogSegment`


class EntriesReply(msgspec.Struct, array_like=True, frozen=True):
    """The requested segments or, at the sender's rate limits, addresses of members to ask instead."""

    segments: Annotated[list[LogSegment], msgspec.Meta(max_length=MAX_CONTROL_MEMBERS)]
    alternatives: Annotated[list[Address], msgspec.Meta(max_length=MAX_ALTERNATIVES)] = []


class ChangeRequest(msgspec.Struct, array_like=True, frozen=True, tag="change"):
    """A request to the administration API, forwarded to the leader of the partition that it changes."""

    sender: Address
    method: Annotated[str, msgspec.Meta(max_length=16)]
    target: Annotated[str, msgspec.Meta(max_length=4096)]  # path and query string
    headers: Annotated[dict[str, str], msgspec.Meta(max_length=64)]
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_CHANGE_BYTES)] = b""
    who: Annotated[str, msgspec.Meta(max_length=256)] = ""  # the author of the change, for the audit trail


class ChangeReply(msgspec.Struct, array_like=True, frozen=True):
    """The reply to a `ChangeRequest`."""

    status: int
    value: Annotated[bytes, msgspec.Meta(max_length=MAX_CHANGE_BYTES)] = b"null"  # the body as JSON
    headers: Annotated[dict[str, str], msgspec.Meta(max_length=64)] = {}
