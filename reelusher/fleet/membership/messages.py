"""The messages between members: datagrams, and requests and replies over TCP."""

from enum import IntEnum
from typing import Annotated

import msgspec

MAX_DATAGRAM_BYTES = 1400  # fits the MTU of any usual link without fragmentation
MAX_STATE_BYTES = 1 << 19  # largest message over TCP
MAX_VECTOR_LENGTH = 32  # most numbers that a datagram carries for other modules
BUCKET_COUNT = 256  # buckets of members, for digests

Name = Annotated[str, msgspec.Meta(max_length=64)]
Address = Annotated[str, msgspec.Meta(max_length=64)]  # HOST:PORT, the key of a member
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
BucketIndex = Annotated[int, msgspec.Meta(ge=0, lt=BUCKET_COUNT)]


class MemberState(IntEnum):
    """The state of a member; within an incarnation, a higher value supersedes a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(msgspec.Struct, array_like=True, frozen=True):
    """A claim by one member about the state of another, or about its own."""

    address: Address
    name: Name
    zone: Name
    region: Name
    incarnation: Number
    state: MemberState
    accuser: Address = ""  # the member whose probe failed, or that declared the death

    def supersedes(self, other: "Update") -> bool:
        """Return whether this is newer than another update about the same member.

        The order is total, so all nodes reach the same state whatever the order in which updates arrive.
        """
        return (self.incarnation, self.state) > (other.incarnation, other.state)


class DatagramKind(IntEnum):
    """The kind of a datagram."""

    PING = 0
    PING_REQUEST = 1  # asks the receiver, as a helper, to ping the target
    ACK = 2
    NACK = 3  # reports that the target has not answered the helper in time either
    GOSSIP = 4


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One datagram. Replies go to the address in `sender`, not to where the datagram came from."""

    kind: DatagramKind
    sender: Address
    seq: Number = 0
    target: Address = ""
    updates: Annotated[list[Update], msgspec.Meta(max_length=64)] = []
    # numbers of other modules; older nodes ignore the field
    vector: Annotated[list[Number], msgspec.Meta(max_length=MAX_VECTOR_LENGTH)] = []


class StateRequest(msgspec.Struct, array_like=True, frozen=True, tag="state"):
    """Requests the full state of a member, and carries what the requester knows."""

    sender: Address
    updates: list[Update]


class StateReply(msgspec.Struct, array_like=True, frozen=True):
    """The state requested, or, if the member has reached its rate limit, other members to ask."""

    updates: list[Update]
    alternatives: list[Address] = []


class DigestRequest(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """Asks whether a member knows the same live members; carries one digest over all of them."""

    sender: Address
    digest: Number


class DigestReply(msgspec.Struct, array_like=True, frozen=True):
    """The digest of each bucket; empty if the digests over all live members are equal."""

    digests: Annotated[list[Number], msgspec.Meta(max_length=4 * BUCKET_COUNT)]


class BucketsRequest(msgspec.Struct, array_like=True, frozen=True, tag="buckets"):
    """Requests the state of the members in some buckets, and carries what the requester knows of them."""

    sender: Address
    buckets: Annotated[list[BucketIndex], msgspec.Meta(max_length=BUCKET_COUNT)]
    updates: list[Update]


class Observation(msgspec.Struct, array_like=True, frozen=True):
    """A value that a node has observed; `reelusher.fleet.warm_start.observations` lists the subjects."""

    subject: Annotated[str, msgspec.Meta(max_length=160)]
    value: float
    observed_s: float  # Unix time


class ObservationsRequest(msgspec.Struct, array_like=True, frozen=True, tag="facts"):
    """Requests the observations of a member."""

    sender: Address


class ObservationsReply(msgspec.Struct, array_like=True, frozen=True):
    """The observations of a member; none while it is cold itself, with `warm` False."""

    warm: bool
    observations: list[Observation]


def text_size(text: str) -> int:
    """Return an upper bound of the encoded size of a text, in bytes."""
    return 3 + (len(text) if text.isascii() else len(text.encode()))


def number_size(number: int) -> int:
    """Return the encoded size of a non-negative number, in bytes."""
    if number < 1 << 16:
        return 1 if number < 1 << 7 else 2 if number < 1 << 8 else 3
    return 5 if number < 1 << 32 else 9


def update_size(update: Update) -> int:
    """Return an upper bound of the encoded size of an update, in bytes."""
    texts = update.address, update.name, update.zone, update.region, update.accuser
    return 2 + number_size(update.incarnation) + sum(map(text_size, texts))
