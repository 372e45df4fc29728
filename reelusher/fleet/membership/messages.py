"""What members say to each other, and the seal round it: version, keyed digest, fleet, and no replays."""

import hmac
from enum import IntEnum
from hashlib import blake2b
from typing import Annotated, Any

import msgspec

VERSION = 1
MOST_DATAGRAM = 1400  # bytes: passes any usual link without being cut into fragments
MOST_STATE = 1 << 19  # bytes of a full state over TCP
MOST_VECTOR = 32  # numbers that ride on a datagram
BUCKETS = 256  # of members, for digests: some 14 in each at 3,600
DIGEST_BYTES = 16
LEAST_SECRET = 16  # bytes
WINDOW = 256  # datagrams by which one may overtake another and still be taken
MOST_SENDERS = 8192  # whose numbers are remembered; past it the one heard of longest ago is forgotten

Name = Annotated[str, msgspec.Meta(max_length=64)]
Place = Annotated[str, msgspec.Meta(max_length=64)]  # HOST:PORT, the key of a member
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class MemberState(IntEnum):
    """Of a member; at one incarnation a later one stands over an earlier."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(msgspec.Struct, array_like=True, frozen=True):
    """What someone says of a member."""

    place: Place
    name: Name
    zone: Name
    region: Name
    incarnation: Number
    state: MemberState
    accuser: Place = ""  # of a suspicion: who did not hear from it

    def beats(self, other: "Update") -> bool:
        """Tell whether this says more than the other: these two make a join of a lattice, in any order."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


class DatagramKind(IntEnum):
    """Of a datagram."""

    PING = 0
    PING_REQUEST = 1  # ping the target for me
    ACK = 2
    NACK = 3  # the target has not answered me in time either
    GOSSIP = 4


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One datagram. Answers go to the place that the sender is known by, not where a datagram came from."""

    kind: DatagramKind
    sender: Place
    seq: Number = 0
    target: Place = ""
    updates: Annotated[list[Update], msgspec.Meta(max_length=64)] = []
    vector: Annotated[list[Number], msgspec.Meta(max_length=MOST_VECTOR)] = []  # older nodes don't read it


class StateRequest(msgspec.Struct, array_like=True, frozen=True, tag="state"):
    """Asks for all that a member knows, and says what the asker knows."""

    sender: Place
    updates: list[Update]


class StateReply(msgspec.Struct, array_like=True, frozen=True):
    """All that a member knows, or, where it has given enough of late, whom to ask instead."""

    updates: list[Update]
    instead: list[Place] = []


class DigestRequest(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """Asks whether a member counts the same ones as live, by one digest over all of them."""

    sender: Place
    whole: Number


class DigestReply(msgspec.Struct, array_like=True, frozen=True):
    """The digest of each bucket; none where the whole is the same."""

    digests: Annotated[list[Number], msgspec.Meta(max_length=4 * BUCKETS)]


class BucketsRequest(msgspec.Struct, array_like=True, frozen=True, tag="buckets"):
    """Asks for all that a member knows of those in some buckets, and says what the asker knows of them."""

    sender: Place
    buckets: Annotated[list[Annotated[int, msgspec.Meta(ge=0, lt=BUCKETS)]], msgspec.Meta(max_length=BUCKETS)]
    updates: list[Update]


class Observation(msgspec.Struct, array_like=True, frozen=True):
    """Something that a node has seen: `run:CLASS`, `call:below` or `away:WORKER`, see `learning.facts`."""

    about: Annotated[str, msgspec.Meta(max_length=160)]
    value: float
    seen_s: float  # Unix time


class FactsRequest(msgspec.Struct, array_like=True, frozen=True, tag="facts"):
    """Asks for what a member has seen."""

    sender: Place


class FactsReply(msgspec.Struct, array_like=True, frozen=True):
    """What a member has seen; one that is cold itself tells nothing."""

    warm: bool
    facts: list[Observation]


def text_size(text: str) -> int:
    """Return the most bytes that a text takes on the wire."""
    return 3 + (len(text) if text.isascii() else len(text.encode()))


def number_size(number: int) -> int:
    """Return the bytes that a number which is not negative takes on the wire."""
    if number < 1 << 16:
        return 1 if number < 1 << 7 else 2 if number < 1 << 8 else 3
    return 5 if number < 1 << 32 else 9


def update_size(said: Update) -> int:
    """Return the most bytes that a piece of news takes on the wire."""
    return (
        2
        + number_size(said.incarnation)
        + sum(map(text_size, (said.place, said.name, said.zone, said.region, said.accuser)))
    )


class RejectedMessageError(Exception):
    """What came is not taken; the text is a word for the counters."""


class Enveloped(msgspec.Struct, array_like=True, frozen=True):
    """What the digest covers."""

    fleet: Name
    sender: Place
    life: Number  # of the sender's process: numbers begin anew with each
    number: Number
    body: msgspec.Raw


class ReplayWindow:
    """The numbers that were seen of each sender, so that nothing counts twice. Bounded."""

    def __init__(self, most: int = MOST_SENDERS) -> None:
        self._most = most
        self._seen: dict[str, tuple[int, int, int]] = {}  # life, highest number, bits of those before it

    def take(self, sender: str, life: int, number: int) -> bool:
        """Note a number; False where it was seen before, or is too old to tell."""
        known, top, bits = self._seen.pop(sender, (life, -1, 0))
        fresh = True
        if life > known:
            known, top, bits = life, number, 1
        elif life < known:
            fresh = False
        elif number > top:
            bits = (bits << min(number - top, WINDOW) | 1) & ((1 << WINDOW) - 1)
            top = number
        else:
            bit = 1 << (top - number) if top - number < WINDOW else 0
            fresh = bool(bit) and not bits & bit
            bits |= bit
        self._seen[sender] = known, top, bits  # last, as the one heard of most recently
        if len(self._seen) > self._most:
            del self._seen[next(iter(self._seen))]
        return fresh


class MessageAuthenticator:
    """Seals what goes out and opens what comes in, for one member. Not for two threads at once."""

    def __init__(self, secret: bytes, fleet: str, place: str, life: int) -> None:
        """`life` is told from earlier ones of this place by being larger: the time of its start will do."""
        self._secret, self._fleet, self._place, self._life = secret[:64], fleet, place, life
        self._number = 0
        self._senders = ReplayWindow()
        self._encoder = msgspec.msgpack.Encoder()
        self._envelopes = msgspec.msgpack.Decoder(Enveloped)
        self._decoders: dict[Any, Any] = {}

    def _digest(self, data: bytes) -> bytes:
        return blake2b(data, digest_size=DIGEST_BYTES, key=self._secret).digest()

    def close(self, body: Any) -> bytes:
        """Return the bytes to send."""
        self._number += 1
        inner = self._encoder.encode([self._fleet, self._place, self._life, self._number, body])
        inner = bytes([VERSION]) + inner
        return self._digest(inner) + inner

    def open(self, data: bytes, kind: Any, most: int = MOST_DATAGRAM) -> tuple[str, Any]:
        """Return who sealed it and what it says; raise `RejectedMessageError` with the reason."""
        if len(data) > most:
            raise RejectedMessageError("oversized")
        if len(data) <= DIGEST_BYTES:
            raise RejectedMessageError("cut")
        given, inner = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not hmac.compare_digest(given, self._digest(inner)):
            raise RejectedMessageError("forged")
        if inner[0] != VERSION:
            raise RejectedMessageError("version")
        try:
            envelope = self._envelopes.decode(inner[1:])
            if kind not in self._decoders:
                self._decoders[kind] = msgspec.msgpack.Decoder(kind)
            body = self._decoders[kind].decode(envelope.body)
        except msgspec.MsgspecError:
            raise RejectedMessageError("malformed") from None
        if envelope.fleet != self._fleet:
            raise RejectedMessageError("other_fleet")
        if not self._senders.take(envelope.sender, envelope.life, envelope.number):
            raise RejectedMessageError("replayed")
        return envelope.sender, body
