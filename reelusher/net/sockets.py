"""Addresses, outgoing TCP connections, and connections that their peers have reset."""

import socket

Address = tuple[str, int]  # host, port

TCP_CLOSE = 7  # the state of a connection that was reset, in the first byte of TCP_INFO on Linux


def is_reset(sock: socket.socket) -> bool:
    """Return whether the peer has reset a connection, so that nothing can be sent on it any more.

    Data that arrived before the reset can still be read, and hides the error until all of it was.
    """
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE
    except OSError:  # not a TCP socket, or closed
        return False


def connect(address: Address, timeout: float, source: Address | None = None) -> socket.socket:
    """Open a connection within `timeout` seconds, from `source` if given; raise OSError on failure.

    The socket is blocking, and sends small writes without delay.
    """
    sock = socket.create_connection(address, timeout, source)
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
