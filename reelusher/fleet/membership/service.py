"""A node's membership in its fleet: the sockets and threads around `Swim`."""

import socket
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from typing import Any, TypeVar

from reelusher.config.checked_table import Address, ConfigError
from reelusher.config.operator.fleet import Fleet
from reelusher.core.counters import Counters
from reelusher.fleet.membership.authentication import MIN_SECRET_BYTES, MessageAuthenticator
from reelusher.fleet.membership.change_log import ChangeLog
from reelusher.fleet.membership.codec import MessageCodec
from reelusher.fleet.membership.messages import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    MemberState,
    ObservationsReply,
    ObservationsRequest,
    Update,
)
from reelusher.fleet.membership.requests import REQUEST_TIMEOUT_S, RequestChannel
from reelusher.fleet.membership.state_sync import StateSync
from reelusher.fleet.membership.swim import StepResult, Swim
from reelusher.fleet.membership.udp_transport import UdpTransport, bind_udp_and_tcp
from reelusher.net.listener import Listener
from reelusher.net.threads import start_thread

MAX_CONNECTIONS = 8  # concurrent TCP connections from other members
# besides connections: the UDP socket, the listener, a rejected connection, and the node's own requests
DESCRIPTORS = MAX_CONNECTIONS + 6
EXPIRY_INTERVAL_S = 60.0  # between removals of members that have been dead for long
MIN_WAIT_S, MAX_WAIT_S = 0.001, 1.0  # bounds of the wait for a datagram
T = TypeVar("T")


def read_secret(path: str) -> bytes:
    """Read the secret that all members share; raise `ConfigError` if it can't be used."""
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise ConfigError("fleet.secret_file", str(error)) from None
    if len(secret) < MIN_SECRET_BYTES:
        raise ConfigError("fleet.secret_file", f"at least {MIN_SECRET_BYTES} bytes are wanted")
    return secret


class Membership:
    """A node's membership in its fleet. A node that reaches no other member serves alone."""

    def __init__(self, config: Fleet, name: str, random: Random, counters: Counters) -> None:
        """Bind the sockets, so that an address in use is reported before anything starts.

        Raises OSError if they can't be bound, and `ConfigError` if the secret can't be used.
        """
        self._config, self._counters = config, counters
        secret = read_secret(config.secret_file)
        incarnation = int(time.time() * 1000)
        own_address = "{}:{}".format(*config.advertise)
        seeds = [seed for seed in (f"{host}:{port}" for host, port in config.seeds) if seed != own_address]
        sock, self._listener = bind_udp_and_tcp(config.listen, self._make_listener)
        self.address: Address = sock.getsockname()
        if not config.advertise[1]:
            own_address = "{}:{}".format(*self.address)
        now = time.monotonic()
        own = Update(own_address, name, config.zone, config.region, incarnation, MemberState.ALIVE)
        authenticator = MessageAuthenticator(secret, config.name, own_address, incarnation)
        self._transport = UdpTransport(sock, counters)
        self._codec = MessageCodec(authenticator, counters)
        self._channel = RequestChannel(self._codec, self.address[0])
        self.handlers = self._channel.handlers  # by type of request; to be set before `start`
        self._lock = threading.Lock()  # guards the next two; never held while blocking
        self._swim = Swim(own, random, now)
        self._change_log = ChangeLog(counters, now)
        self.state_sync = StateSync(
            self._swim, self._lock, self._channel, seeds, random, counters, self._deliver
        )
        self._stop = threading.Event()
        self._last_expiry_s = now
        self.observations: Callable[[], ObservationsReply] = lambda: ObservationsReply(False, [])
        self.handlers[ObservationsRequest] = lambda request: self.observations()

    def _make_listener(self, address: Address) -> Listener:
        return Listener(
            "fleet", address, self._counters, self._serve_connection, max_connections=MAX_CONNECTIONS
        )

    def _serve_connection(self, sock: socket.socket, peer: Address) -> None:
        self._channel.serve_connection(sock)

    # These methods may be called from any thread

    @property
    def joined(self) -> bool:
        """Return whether the node has joined its fleet."""
        return self.state_sync.joined

    def start(self) -> None:
        """Start the threads, which join the fleet and take part in its protocol."""
        start_thread("fleet", self._run)
        self._listener.start()
        start_thread("fleet-sync", self.state_sync.run)

    def leave(self) -> None:
        """Announce that this node leaves; gossip goes on until `close`."""
        with self._lock:
            result = self._swim.leave()
        self._deliver(result)

    def close(self) -> None:
        """Stop the threads and close the sockets."""
        self._stop.set()
        self.state_sync.close()
        self._listener.stop()

    def live(self) -> list[Update]:
        """Return the live members, this one first."""
        with self._lock:
            table = self._swim.table
            return [self._swim.own, *(table.members[address].update for address in table.live())]

    def status(self) -> dict[str, Any]:
        """Return the state of the fleet for operators, as plain values."""
        now = time.monotonic()
        with self._lock:
            swim, joined = self._swim, self.joined
            members = [
                _member_status(member.update) | {"since_s": round(now - member.since_s, 1)}
                for member in swim.table.members.values()
            ]
            own, health, fleet_size = swim.own, swim.detector.local_health.score, swim.table.fleet_size()
            duplicate_names = self._duplicate_names()
        return {
            "fleet": self._config.name,
            "own": _member_status(own) | {"health": health, "joined": joined},
            "live": fleet_size,
            "namesakes": duplicate_names,
            "members": sorted(members, key=lambda member: (member["name"], member["address"])),
        }

    def _duplicate_names(self) -> dict[str, list[str]]:
        duplicates, own = self._swim.table.duplicate_names(), self._swim.own
        if own.state is MemberState.ALIVE:
            others = [
                address
                for address, member in self._swim.table.members.items()
                if member.is_live and member.update.name == own.name
            ]
            if others:
                duplicates[own.name] = sorted([own.address, *others])
        return duplicates

    def piggyback(
        self, vector: Callable[[], list[int]], on_vector: Callable[[str, list[int], float], None]
    ) -> None:
        """Send the numbers that `vector` returns with each datagram; pass those received to `on_vector`.

        `vector` returns at most `MAX_VECTOR_LENGTH` numbers, none negative. `on_vector` takes the sender, its
        vector and the time. Both are called with the lock of this membership held: they must neither block
        nor call this object.
        """
        with self._lock:
            self._swim.gossip.vector, self._swim.on_vector = vector, on_vector

    def ping(self, addresses: Iterable[str]) -> None:
        """Ping members outside the probes, so that their vectors arrive with the answers."""
        for address in addresses:
            with self._lock:
                result = self._swim.ping(address)
            self._deliver(result)

    def forget(self, name: str) -> bool | None:
        """Have the fleet forget the dead members of a name; False if one is live, None if none is known."""
        now = time.monotonic()
        with self._lock:
            members = self._swim.table.members
            addresses = [address for address, member in members.items() if member.update.name == name]
            if name == self._swim.own.name or any(members[address].is_live for address in addresses):
                return False
            results = [self._swim.forget(address, now) for address in addresses]
        for result in results:
            if result is not None:
                self._deliver(result)
        return True if addresses else None

    def request(
        self, address: str, request: Any, reply_type: type[T], timeout_s: float = REQUEST_TIMEOUT_S
    ) -> T | None:
        """Return the reply of a member over TCP; None if it can't be reached or does not reply in time."""
        return self._channel.request(address, request, reply_type, timeout_s)

    def request_once(
        self, address: str, request: Any, reply_type: type[T], timeout_s: float = REQUEST_TIMEOUT_S
    ) -> T:
        """Return the reply; raise `MemberUnreachableError` if nothing was sent, else `NoReplyError`."""
        return self._channel.request_once(address, request, reply_type, timeout_s)

    # The thread that receives datagrams and runs the timers

    def _run(self) -> None:
        while not self._stop.is_set():
            now = time.monotonic()
            with self._lock:
                result = self._swim.tick(now)
                wait_s = self._swim.next_tick_s() - now
                if now - self._last_expiry_s > EXPIRY_INTERVAL_S:
                    self._last_expiry_s = now
                    self._swim.table.drop_expired(now)
            self._deliver(result)
            self._log_changes(now)
            data = self._transport.receive(min(max(wait_s, MIN_WAIT_S), MAX_WAIT_S))
            if data is not None:
                self._receive(data)
        self._transport.close()

    def _receive(self, data: bytes) -> None:
        now = time.monotonic()
        datagram: Datagram | None = self._codec.open(data, Datagram, MAX_DATAGRAM_BYTES)
        if datagram is None:
            return
        with self._lock:
            if datagram.sender == self._swim.own.address:
                return
            result = self._swim.receive(datagram, now)
            if self._swim.sync_with:
                self.state_sync.wake()
        self._counters.add("fleet.received")
        self._deliver(result)

    def _deliver(self, result: StepResult) -> None:
        """Send the datagrams of a step and record its changes; called by several threads."""
        for recipient, datagram in result.datagrams:
            self._transport.send(recipient, self._codec.seal(datagram))
        if result.changes:
            with self._lock:
                for change in result.changes:
                    self._change_log.record(change)

    def _log_changes(self, now: float) -> None:
        if not self._change_log.is_due(now):
            return
        with self._lock:
            self._change_log.write(now, self._swim.table.fleet_size(), self._duplicate_names())


def _member_status(update: Update) -> dict[str, Any]:
    return {
        "name": update.name,
        "address": update.address,
        "zone": update.zone,
        "region": update.region,
        "incarnation": update.incarnation,
        "state": update.state.name.lower(),
    }
