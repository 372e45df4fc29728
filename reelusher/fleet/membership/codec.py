"""Thread-safe sealing and opening of messages; rejected messages are counted."""

import threading
from typing import Any

from reelusher.core.counters import Counters
from reelusher.fleet.membership.authentication import MessageAuthenticator, RejectedMessageError


class MessageCodec:
    """A thread-safe `MessageAuthenticator` that counts the messages it rejects."""

    def __init__(self, authenticator: MessageAuthenticator, counters: Counters) -> None:
        self._authenticator, self._counters = authenticator, counters
        self._lock = threading.Lock()

    def seal(self, body: Any) -> bytes:
        """Return the message as bytes to send."""
        with self._lock:
            return self._authenticator.seal(body)

    def open(self, data: bytes, body_type: Any, max_bytes: int) -> Any:
        """Return a received message, or None if it is rejected: it is counted, and must not be answered."""
        try:
            with self._lock:
                return self._authenticator.open(data, body_type, max_bytes)[1]
        except RejectedMessageError as error:
            self._counters.warn(f"fleet.refused_{error}", "fleet: message rejected: {}", error)
            return None
