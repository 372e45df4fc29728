"""The sockets and threads of membership: datagrams both ways, full states over TCP. `Swim` decides."""

import contextlib
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from functools import reduce
from operator import or_
from pathlib import Path
from random import Random
from typing import Any, TypeVar

from loguru import logger

from reelusher.config.checked_table import Address, ConfigError, address_of
from reelusher.config.operator import Fleet
from reelusher.core.counters import Counters
from reelusher.fleet.membership.member_table import MemberChange
from reelusher.fleet.membership.messages import (
    BUCKETS,
    LEAST_SECRET,
    MOST_DATAGRAM,
    MOST_STATE,
    BucketsRequest,
    Datagram,
    DigestReply,
    DigestRequest,
    FactsReply,
    FactsRequest,
    MemberState,
    MessageAuthenticator,
    RejectedMessageError,
    StateReply,
    StateRequest,
    Update,
)
from reelusher.fleet.membership.swim import Said, Swim
from reelusher.net.listener import Listener
from reelusher.net.sockets import connect
from reelusher.net.threads import start_thread
from reelusher.pacing.backoff import Backoff
from reelusher.pacing.token_bucket import TokenBucket

STATE_S = 2.0  # for one exchange
STATES_PER_S, STATES_AT_ONCE = 10.0, 10.0  # that a member gives; whoever comes beyond is sent to others
MOST_ASKERS = 8  # connections at once
DESCRIPTORS = MOST_ASKERS + 6  # datagrams, the listener, one turned away, and what it asks others itself
INSTEAD = 5  # members that one is sent to
JOIN_BASE_S, JOIN_CAP_S = 0.2, 3.0  # between tries to join
FULL_PART = 0.25  # of those that did not answer with digests are asked for a full state at once
SYNC_S = 15.0, 30.0  # between comparisons with a member by chance, which mend what gossip has lost
FIRST_S = 0.5, 3.0  # until the first after joining: of many that join at once, each was told of some
SYNC_LEAST_S = 0.5, 1.5  # between exchanges that a found side asks for
LOG_S = 1.0  # at most one line about changes in so long
LOG_NAMES = 5  # named in it
DROP_S = 60.0  # between looks for those that have been gone for long
PORT_TRIES = 20
RECEIVE = 1 << 16
T = TypeVar("T")


def read_secret(path: str) -> bytes:
    """Read what the fleet's members share; raise `ConfigError` where it can't serve."""
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise ConfigError("fleet.secret_file", str(error)) from None
    if len(secret) < LEAST_SECRET:
        raise ConfigError("fleet.secret_file", f"at least {LEAST_SECRET} bytes are wanted")
    return secret


class MemberUnreachableError(Exception):
    """A member can't be reached: it was told nothing."""


class NoReplyError(Exception):
    """A member was told something, and no answer came: it may have heeded it."""


class Membership:
    """A node's place in its fleet. Lost, or with nobody there, the node serves on as it does alone."""

    def __init__(self, config: Fleet, name: str, random: Random, counters: Counters) -> None:
        """Listen at once, so that an address which is taken is told before anything starts."""
        self._config, self._random, self._counters = config, random, counters
        life = int(time.time() * 1000)
        place = "{}:{}".format(*config.advertise)
        self._seeds = [seed for seed in (f"{host}:{port}" for host, port in config.seeds) if seed != place]
        self._sock, self._listener = self._bound(config.listen)
        self.address: Address = self._sock.getsockname()
        if not config.advertise[1]:
            place = "{}:{}".format(*self.address)
        now = time.monotonic()
        self._swim = Swim(
            Update(place, name, config.zone, config.region, life, MemberState.ALIVE), random, now
        )
        self._seal = MessageAuthenticator(read_secret(config.secret_file), config.name, place, life)
        self._lock = threading.Lock()  # of the two above; held for reckoning only, never while waiting
        self._states = TokenBucket(STATES_PER_S, STATES_AT_ONCE, now)
        self._stop = threading.Event()
        self._poke = threading.Event()  # there is someone to exchange states with
        self.joined = not self._seeds
        self._since: Counter[str] = Counter()  # changes that were not logged yet
        self._names: list[str] = []
        self._logged_s = self._dropped_s = now
        self.facts: Callable[[], FactsReply] = lambda: FactsReply(False, [])  # what this node has seen
        # Who answers which kind of request, by a thread of its own each; set before `start`. None: no answer.
        self.serve: dict[type, Callable[[Any], Any]] = {
            StateRequest: self._state_for,
            DigestRequest: self._digests_for,
            BucketsRequest: self._buckets_for,
            FactsRequest: lambda asked: self.facts(),
        }

    def _bound(self, address: Address) -> tuple[socket.socket, Listener]:
        """Take an address for datagrams and connections; of port 0, one that is free for both."""
        for left in reversed(range(1 if address[1] else PORT_TRIES)):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind(address)
                return sock, Listener(
                    "fleet", sock.getsockname(), self._counters, self._serve, most=MOST_ASKERS
                )
            except OSError:
                sock.close()
                if not left:
                    raise
        raise AssertionError("unreachable")

    # From any thread

    def start(self) -> None:
        """Start to take part."""
        start_thread("fleet", self._run)
        self._listener.start()
        start_thread("fleet-sync", self._sync)

    def leave(self) -> None:
        """Say that this node leaves; gossip goes on until `close`."""
        with self._lock:
            said = self._swim.leave()
        self._carry_out(said)

    def close(self) -> None:
        """Take part no longer."""
        self._stop.set()
        self._poke.set()
        self._listener.stop()

    def live(self) -> list[Update]:
        """Return the live members, this one first."""
        with self._lock:
            table = self._swim.table
            return [self._swim.own, *(table.members[place].said for place in table.here())]

    def status(self) -> dict[str, Any]:
        """Return what operators want to know."""
        now = time.monotonic()
        with self._lock:
            swim = self._swim
            members = [_told(member.said, now - member.since_s) for member in swim.table.members.values()]
            own, health, size, joined = swim.own, swim.health, swim.size(), self.joined
            namesakes = self._namesakes()
        return {
            "fleet": self._config.name,
            "own": _told(own, None) | {"health": health, "joined": joined},
            "live": size,
            "namesakes": namesakes,
            "members": sorted(members, key=lambda member: (member["name"], member["address"])),
        }

    def ride(self, vector: Callable[[], list[int]], heard: Callable[[str, list[int], float], None]) -> None:
        """Have each datagram carry what `vector` returns; tell `heard` the sender, its vector and the time.

        Both are called with the lock of this membership held: they must return at once and not call it.
        At most `MOST_VECTOR` numbers, none negative.
        """
        with self._lock:
            self._swim.vector, self._swim.heard = vector, heard

    def call(self, places: Iterable[str]) -> None:
        """Ping members beside the probes, so that each is heard with what rides on its answer."""
        for place in places:
            with self._lock:
                said = self._swim.call(place)
            self._carry_out(said)

    def forget(self, name: str) -> bool | None:
        """Have the fleet forget dead members of a name; False where one lives, None where none is known."""
        now = time.monotonic()
        with self._lock:
            found = [place for place, member in self._swim.table.members.items() if member.said.name == name]
            if name == self._swim.own.name or any(self._swim.table.members[place].here for place in found):
                return False
            all_said = [self._swim.forget(place, now) for place in found]
        for said in all_said:
            self._carry_out(said)
        return True if found else None

    # The thread of datagrams

    def _run(self) -> None:
        while not self._stop.is_set():
            now = time.monotonic()
            with self._lock:
                said = self._swim.tick(now)
                wait_s = self._swim.next_s() - now
                if now - self._dropped_s > DROP_S:
                    self._dropped_s = now
                    self._swim.table.drop_old(now)
            self._carry_out(said)
            self._log(now)
            self._sock.settimeout(min(max(wait_s, 0.001), 1.0))
            with contextlib.suppress(TimeoutError):
                try:
                    data, _ = self._sock.recvfrom(RECEIVE)
                except TimeoutError:
                    raise
                except OSError as error:  # told of a datagram that nobody took, for one
                    logger.debug("fleet: {}", error)
                    continue
                self._take(data)
        self._sock.close()

    def _take(self, data: bytes) -> None:
        now = time.monotonic()
        with self._lock:
            message: Datagram | None = self._open(data, Datagram, MOST_DATAGRAM)
            if message is None or message.sender == self._swim.own.place:
                return
            said = self._swim.receive(message, now)
            if self._swim.sync_with:
                self._poke.set()
        self._counters.add("fleet.received")
        self._carry_out(said)

    def _open(self, data: bytes, kind: Any, most: int) -> Any:
        """Open what came; what is refused is counted and never answered."""
        try:
            return self._seal.open(data, kind, most)[1]
        except RejectedMessageError as error:
            self._counters.warn(f"fleet.refused_{error}", "fleet: what came was refused: {}", error)
            return None

    def _carry_out(self, said: Said | None) -> None:
        if said is None:
            return
        for place, message in said.out:
            with self._lock:
                data = self._seal.close(message)
            try:
                self._sock.sendto(data, socket.MSG_DONTWAIT, address_of(place, "place"))
                self._counters.add("fleet.sent")
                self._counters.add("fleet.sent_bytes", len(data))
            except (OSError, ConfigError):  # a full buffer, or a place that is none: as if lost on the way
                self._counters.add("fleet.send_failed")
        if said.changes:
            with self._lock:  # states and datagrams are carried out by threads of their own
                for change in said.changes:
                    self._note(change)

    def _note(self, change: MemberChange) -> None:
        what = change.said.state.name.lower()
        if change.said.state is MemberState.ALIVE and change.before is not None:
            what = "back"
        self._since[what] += 1
        self._counters.add(f"fleet.{what}")
        if len(self._names) < LOG_NAMES:
            self._names.append(f"{change.said.name} {what}")

    def _log(self, now: float) -> None:
        """Say what has changed, in one line for all of a second: hundreds may change at once."""
        if not self._since or now - self._logged_s < LOG_S:
            return
        with self._lock:
            size, namesakes = self._swim.size(), self._namesakes()
            changes, self._since = self._since, Counter()
            names, self._names = self._names, []
        self._logged_s = now
        more = sum(changes.values()) - len(names)
        logger.info("fleet: {} live; {}{}", size, ", ".join(names), f" and {more} more" if more > 0 else "")
        for name, places in namesakes.items():
            self._counters.warn(
                "fleet.namesakes", "fleet: two live members have one name, {}: {}", name, ", ".join(places)
            )

    def _namesakes(self) -> dict[str, list[str]]:
        found, own = self._swim.table.namesakes(), self._swim.own
        if own.state is MemberState.ALIVE:
            others = [
                place
                for place, member in self._swim.table.members.items()
                if member.here and member.said.name == own.name
            ]
            if others:
                found[own.name] = sorted([own.place, *others])
        return found

    # Requests, over TCP: full states are some of them

    def _serve(self, sock: socket.socket, peer: Address) -> None:
        """Answer one request of a kind that is served."""
        try:
            with sock:
                sock.settimeout(STATE_S)
                data = _read_frame(sock)
                with self._lock:
                    asked = self._open(data, reduce(or_, self.serve), MOST_STATE)
                reply = self.serve[type(asked)](asked) if asked is not None else None
                if reply is None:
                    return
                with self._lock:
                    sealed = self._seal.close(reply)
                sock.settimeout(STATE_S)
                sock.sendall(_framed(sealed))
        except OSError as error:
            logger.debug("fleet: {}", error)

    def _state_for(self, asked: StateRequest) -> StateReply:
        """Take an asker's state and return what it gets."""
        return self._given(asked, self._swim.state)

    def _buckets_for(self, asked: BucketsRequest) -> StateReply:
        """Take what an asker knows of the members in some buckets and return what is known of them here."""
        return self._given(asked, lambda: self._swim.in_buckets(asked.buckets))

    def _given(self, asked: StateRequest | BucketsRequest, known: Callable[[], list[Update]]) -> StateReply:
        now = time.monotonic()
        with self._lock:
            said = self._swim.merge(asked.updates, now)
            gives = self._states.try_take(now)
            reply = (
                StateReply(known())
                if gives
                else StateReply([self._swim.own], self._swim.table.some(INSTEAD, asked.sender))
            )
        self._counters.add("fleet.states_given" if gives else "fleet.states_denied")
        self._carry_out(said)
        return reply

    def _digests_for(self, asked: DigestRequest) -> DigestReply:
        with self._lock:
            reply = DigestReply(self._swim.compared(asked.whole))
        self._counters.add("fleet.states_differ" if reply.digests else "fleet.states_equal")
        return reply

    def _compare(self, place: str) -> None:
        """Exchange with a member what the two of them know otherwise than each other."""
        with self._lock:
            request = DigestRequest(self._swim.own.place, self._swim.digest())
        reply = self.ask(place, request, DigestReply)
        if reply is None or len(reply.digests) not in (0, BUCKETS):
            # It may know none, or others; or it is away, or turns away too many askers: not all at once.
            if self._random.random() < FULL_PART:
                self._exchange(place)
            return
        if not reply.digests:
            return
        with self._lock:
            buckets = self._swim.differing(reply.digests)
            updates = self._swim.in_buckets(buckets)
        if buckets:
            self._merge(self.ask(place, BucketsRequest(request.sender, buckets, updates), StateReply))

    def _exchange(self, place: str) -> StateReply | None:
        """Exchange full states with a member; None where it can't be reached or does not answer."""
        with self._lock:
            # one that joins tells of itself only: what others know of it, they have from its life before
            updates = self._swim.state() if self.joined else [self._swim.own]
            request = StateRequest(self._swim.own.place, updates)
        return self._merge(self.ask(place, request, StateReply))

    def _merge(self, reply: StateReply | None) -> StateReply | None:
        if reply is not None:
            with self._lock:
                take = self._swim.merge if self.joined else self._swim.join
                said = take(reply.updates, time.monotonic())
            self._carry_out(said)
        return reply

    def ask(self, place: str, request: Any, kind: type[T], within_s: float = STATE_S) -> T | None:
        """Ask a member over TCP; None where it can't be reached or does not answer within so many seconds."""
        try:
            return self.ask_once(place, request, kind, within_s)
        except (MemberUnreachableError, NoReplyError) as error:
            logger.debug("fleet: no answer of {}: {}", place, error)
            return None

    def ask_once(self, place: str, request: Any, kind: type[T], within_s: float = STATE_S) -> T:
        """Do the same; raises `MemberUnreachableError` where nothing was sent, else `NoReplyError`."""
        with self._lock:
            data = self._seal.close(request)
        try:
            # from its own address, by which others may tell who comes
            sock = connect(address_of(place, "place"), STATE_S, (self.address[0], 0))
        except (OSError, ConfigError) as error:
            raise MemberUnreachableError(str(error)) from None
        try:
            with sock:
                sock.settimeout(within_s)
                sock.sendall(_framed(data))
                answer = _read_frame(sock, within_s)
        except OSError as error:
            raise NoReplyError(str(error)) from None
        with self._lock:
            reply: T | None = self._open(answer, kind, MOST_STATE)
        if reply is None:
            raise NoReplyError("what came was refused")
        return reply

    def _sync(self) -> None:
        """Join, then compare states now and then, and with whoever turned out to live after all."""
        backoff = Backoff(self._random, JOIN_BASE_S, JOIN_CAP_S)
        instead: list[str] = []
        while not self.joined and not self._stop.is_set():
            asked = self._random.choice(instead or self._seeds)
            reply = self._exchange(asked)
            instead = reply.instead if reply else []
            if reply and not reply.instead:
                self.joined = True
                logger.info("fleet: joined through {}, {} live", asked, len(self.live()))
            elif reply:
                self._stop.wait(self._random.uniform(0.05, JOIN_BASE_S))
            else:
                self._counters.warn("fleet.unjoined", "fleet: nobody to join at {}, serving alone", asked)
                self._stop.wait(backoff.next_s())
        due_s = time.monotonic() + self._random.uniform(*FIRST_S)
        while not self._stop.is_set():
            self._poke.wait(max(0.0, due_s - time.monotonic()))
            self._poke.clear()
            if self._stop.is_set():
                return
            with self._lock:
                found = [self._swim.sync_with.pop()] if self._swim.sync_with else []
                self._swim.sync_with.clear()
                if not found and time.monotonic() >= due_s:
                    found = self._by_chance()
                    due_s = time.monotonic() + self._random.uniform(*SYNC_S)
            for place in found:
                self._compare(place)
                self._stop.wait(self._random.uniform(*SYNC_LEAST_S))

    def _by_chance(self) -> list[str]:
        """Return a member to compare states with, now and then a seed that is not among the live."""
        live = set(self._swim.table.here())
        lost = [seed for seed in self._seeds if seed not in live]
        if lost and self._random.random() < 3 / (1 + len(live)):
            return [self._random.choice(lost)]
        return self._swim.table.some(1)


def _told(said: Update, since_s: float | None) -> dict[str, Any]:
    told = {
        "name": said.name,
        "address": said.place,
        "zone": said.zone,
        "region": said.region,
        "incarnation": said.incarnation,
        "state": said.state.name.lower(),
    }
    return told if since_s is None else told | {"since_s": round(since_s, 1)}


def _framed(data: bytes) -> bytes:
    return len(data).to_bytes(4) + data


def _read_frame(sock: socket.socket, within_s: float = STATE_S) -> bytes:
    until = time.monotonic() + within_s
    size = int.from_bytes(_read(sock, 4, until))
    if size > MOST_STATE:
        raise OSError(f"a frame of {size} bytes")
    return _read(sock, size, until)


def _read(sock: socket.socket, size: int, until: float) -> bytes:
    """Read so many bytes until a time, however slowly they come."""
    made = bytearray()
    while len(made) < size:
        sock.settimeout(max(0.001, until - time.monotonic()))
        data = sock.recv(min(1 << 16, size - len(made)))
        if not data:
            raise OSError("closed in the middle")
        made += data
    return bytes(made)
