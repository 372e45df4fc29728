"""Message authentication between members: protocol version, keyed digest, fleet name, replay protection."""

import hmac
from hashlib import blake2b
from typing import Any

import msgspec

from reelusher.fleet.membership.messages import MAX_DATAGRAM_BYTES, Address, Name, Number

PROTOCOL_VERSION = 1
DIGEST_BYTES = 16
MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64  # the longest key that blake2b accepts; further bytes of a secret are ignored
REPLAY_WINDOW_SIZE = 256  # numbers tracked per sender; a message overtaken by as many is rejected
MAX_SENDERS = 8192  # tracked senders; past these, the least recently heard is forgotten


class RejectedMessageError(Exception):
    """A message failed a check; the text is the reason, as it stands in the names of counters."""


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """The content of a message; the digest covers it and the protocol version."""

    fleet: Name
    sender: Address
    sender_incarnation: Number  # of the sender's process; `number` restarts with each incarnation
    number: Number
    body: msgspec.Raw


class ReplayWindow:
    """The message numbers received from each sender, so that no message is accepted twice. Bounded."""

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self._max_senders = max_senders
        # by sender: incarnation, highest number, and a bitmap of the numbers up to it, the highest in bit 0
        self._seen: dict[str, tuple[int, int, int]] = {}

    def accept(self, sender: str, incarnation: int, number: int) -> bool:
        """Record a number; return whether it is new.

        Numbers that are too old for the window, or of an earlier incarnation of the sender, are not new.
        """
        known_incarnation, highest, bitmap = self._seen.pop(sender, (incarnation, -1, 0))
        is_new = True
        if incarnation > known_incarnation:
            known_incarnation, highest, bitmap = incarnation, number, 1
        elif incarnation < known_incarnation:
            is_new = False
        elif number > highest:
            shift = min(number - highest, REPLAY_WINDOW_SIZE)
            bitmap = (bitmap << shift | 1) & ((1 << REPLAY_WINDOW_SIZE) - 1)
            highest = number
        else:
            age = highest - number
            bit = 1 << age if age < REPLAY_WINDOW_SIZE else 0
            is_new = bool(bit) and not bitmap & bit
            bitmap |= bit
        self._seen[sender] = known_incarnation, highest, bitmap  # last, as the most recently heard sender
        if len(self._seen) > self._max_senders:
            del self._seen[next(iter(self._seen))]
        return is_new


class MessageAuthenticator:
    """Seals the messages that one member sends and opens those that it receives. Not thread-safe."""

    def __init__(self, secret: bytes, fleet: str, address: str, incarnation: int) -> None:
        """`incarnation` must exceed that of earlier processes at this address; a start time suffices."""
        self._secret = secret[:MAX_SECRET_BYTES]
        self._fleet, self._address, self._incarnation = fleet, address, incarnation
        self._number = 0
        self._replay_window = ReplayWindow()
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._body_decoders: dict[Any, Any] = {}

    def seal(self, body: Any) -> bytes:
        """Return the message as bytes to send: digest, protocol version and envelope."""
        self._number += 1
        envelope = [self._fleet, self._address, self._incarnation, self._number, body]
        sealed = bytes([PROTOCOL_VERSION]) + self._encoder.encode(envelope)
        return self._digest(sealed) + sealed

    def open(self, data: bytes, body_type: Any, max_bytes: int = MAX_DATAGRAM_BYTES) -> tuple[str, Any]:
        """Return the sender and the message; raise `RejectedMessageError` with the reason."""
        if len(data) > max_bytes:
            raise RejectedMessageError("oversized")
        if len(data) <= DIGEST_BYTES:
            raise RejectedMessageError("cut")
        digest, sealed = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(sealed)):
            raise RejectedMessageError("forged")
        if sealed[0] != PROTOCOL_VERSION:
            raise RejectedMessageError("version")
        try:
            envelope = self._envelope_decoder.decode(sealed[1:])
            body = self._body_decoder(body_type).decode(envelope.body)
        except msgspec.MsgspecError:
            raise RejectedMessageError("malformed") from None
        if envelope.fleet != self._fleet:
            raise RejectedMessageError("other_fleet")
        if not self._replay_window.accept(envelope.sender, envelope.sender_incarnation, envelope.number):
            raise RejectedMessageError("replayed")
        return envelope.sender, body

    def _digest(self, data: bytes) -> bytes:
        return blake2b(data, digest_size=DIGEST_BYTES, key=self._secret).digest()

    def _body_decoder(self, body_type: Any) -> Any:
        decoder = self._body_decoders.get(body_type)
        if decoder is None:
            decoder = self._body_decoders[body_type] = msgspec.msgpack.Decoder(body_type)
        return decoder
