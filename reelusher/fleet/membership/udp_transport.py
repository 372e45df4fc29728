"""The UDP socket of a member."""

import socket
from collections.abc import Callable
from typing import TypeVar

from loguru import logger

from reelusher.config.checked_table import Address, ConfigError, address_of
from reelusher.core.counters import Counters

BIND_ATTEMPTS = 20  # to find a port that is free for both UDP and TCP
RECEIVE_BUFFER_BYTES = 1 << 16
T = TypeVar("T")


def bind_udp_and_tcp(address: Address, bind_tcp: Callable[[Address], T]) -> tuple[socket.socket, T]:
    """Bind a UDP socket and a TCP listener to one address; port 0 stands for a port free for both.

    Raises OSError if the address can't be bound, or if no such port is found in `BIND_ATTEMPTS` attempts.
    """
    for attempts_left in reversed(range(1 if address[1] else BIND_ATTEMPTS)):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind(address)
            return sock, bind_tcp(sock.getsockname())
        except OSError:
            sock.close()
            if not attempts_left:
                raise
    raise AssertionError("unreachable")


class UdpTransport:
    """Sends and receives datagrams. Any thread may send, but only one may receive."""

    def __init__(self, sock: socket.socket, counters: Counters) -> None:
        self._sock, self._counters = sock, counters

    def send(self, recipient: str, data: bytes) -> None:
        """Send a datagram without blocking; one that cannot be sent is lost."""
        try:
            self._sock.sendto(data, socket.MSG_DONTWAIT, address_of(recipient, "address"))
            self._counters.add("fleet.sent")
            self._counters.add("fleet.sent_bytes", len(data))
        except (OSError, ConfigError):  # a full buffer, or an invalid address
            self._counters.add("fleet.send_failed")

    def receive(self, timeout_s: float) -> bytes | None:
        """Return the next datagram; None if none arrives within `timeout_s`, or if receiving fails."""
        self._sock.settimeout(timeout_s)
        try:
            return self._sock.recvfrom(RECEIVE_BUFFER_BYTES)[0]
        except TimeoutError:
            return None
        except OSError as error:  # for example, an earlier datagram was not delivered
            logger.debug("fleet: receiving a datagram failed: {}", error)
            return None

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()
