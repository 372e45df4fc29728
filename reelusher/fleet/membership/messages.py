"""The messages between members: datagrams, and requests and replies over TCP."""

from enum import IntEnum
from typing import Annotated

import msgspec

MAX_DATAGRAM_BYTES = 1400  # passes any usual link without fragmentation
MAX_STATE_BYTES = 1 << 19  # of a message over TCP
MAX_VECTOR_LENGTH = 32  # numbers that a datagram carries for other modules
BUCKET_COUNT = 256  # of members, for digests

Name = Annotated[str, msgspec.Meta(max_length=64)]
Address = Annotated[str, msgspec.Meta(max_length=64)]  # HOST:PORT, the key of a member
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
BucketIndex = Annotated[int, msgspec.Meta(ge=0, lt=BUCKET_COUNT)]


class MemberState(IntEnum):
    """The state of a member; at one incarnation a higher value supersedes a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(msgspec.Struct, array_like=True, frozen=True):
    """What one member claims about another, or about itself."""

    address: Address
    name: Name
    zone: Name
    region: Name
    incarnation: Number
    state: MemberState
    accuser: Address = ""  # of a suspicion: whose probe failed

    def supersedes(self, other: "Update") -> bool:
        """Return whether this is newer than another update about the member.

        The order is total, so that all nodes come to the same state in whatever order updates arrive.
        """
        return (self.incarnation, self.state) > (other.incarnation, other.state)


class DatagramKind(IntEnum):
    """The kinds of datagrams."""

    PING = 0
    PING_REQUEST = 1  # asks the receiver to ping the target
    ACK = 2
    NACK = 3  # the target has not answered the helper in time either
    GOSSIP = 4


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One datagram. Replies go to the address in `sender`, not to where the datagram came from."""

    kind: DatagramKind
    sender: Address
    seq: Number = 0
    target: Address = ""
    updates: Annotated[list[Update], msgspec.Meta(max_length=64)] = []
    vector: Annotated[list[Number], msgspec.Meta(max_length=MAX_VECTOR_LENGTH)] = []  # ignored by older nodes


class StateRequest(msgspec.Struct, array_like=True, frozen=True, tag="state"):
    """Asks for all that a member knows, and tells what the requester knows."""

    sender: Address
    updates: list[Update]


class StateReply(msgspec.Struct, array_like=True, frozen=True):
    """All that a member knows, or, where it has reached its rate limit, other members to ask."""

    updates: list[Update]
    alternatives: list[Address] = []


class DigestRequest(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """Asks whether a member knows the same live members, by one digest over all of them."""

    sender: Address
    digest: Number


class DigestReply(msgspec.Struct, array_like=True, frozen=True):
    """The digest of each bucket; empty where the digest over all is the same."""

    digests: Annotated[list[Number], msgspec.Meta(max_length=4 * BUCKET_COUNT)]


class BucketsRequest(msgspec.Struct, array_like=True, frozen=True, tag="buckets"):
    """Asks for all that a member knows of some buckets, and tells what the requester knows of them."""

    sender: Address
    buckets: Annotated[list[BucketIndex], msgspec.Meta(max_length=BUCKET_COUNT)]
    updates: list[Update]


class Observation(msgspec.Struct, array_like=True, frozen=True):
    """Something that a node has observed: see `reelusher.fleet.warm_start.observations` for the subjects."""

    subject: Annotated[str, msgspec.Meta(max_length=160)]
    value: float
    observed_s: float  # Unix time


class ObservationsRequest(msgspec.Struct, array_like=True, frozen=True, tag="facts"):
    """Asks for what a member has observed."""

    sender: Address


class ObservationsReply(msgspec.Struct, array_like=True, frozen=True):
    """What a member has observed; nothing while it is cold itself."""

    warm: bool
    observations: list[Observation]


def text_size(text: str) -> int:
    """Return the most bytes that a text takes on the wire."""
    return 3 + (len(text) if text.isascii() else len(text.encode()))


def number_size(number: int) -> int:
    """Return the bytes that a non-negative number takes on the wire."""
    if number < 1 << 16:
        return 1 if number < 1 << 7 else 2 if number < 1 << 8 else 3
    return 5 if number < 1 << 32 else 9


def update_size(update: Update) -> int:
    """Return the most bytes that an update takes on the wire."""
    texts = update.address, update.name, update.zone, update.region, update.accuser
    return 2 + number_size(update.incarnation) + sum(map(text_size, texts))
