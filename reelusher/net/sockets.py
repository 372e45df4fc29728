"""Addresses and outgoing TCP connections."""

import socket

Address = tuple[str, int]  # host, port


def connect(address: Address, timeout: float, source: Address | None = None) -> socket.socket:
    """Open a connection within `timeout` seconds, from `source` if given; raise OSError on failure.

    The socket is blocking, and sends small writes without delay.
    """
    sock = socket.create_connection(address, timeout, source)
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
