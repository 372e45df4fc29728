"""The platform's front: MessagePack-RPC over TCP, translated to the core's requests and answers."""

import contextlib
import hashlib
import heapq
import math
import socket
import threading
import time
from typing import Any

from reelusher import interface as io
from reelusher.core.model import Answer, Arrived, Left, Request, Verdict
from reelusher.core.owner import Core
from reelusher.net import Address, Budget, Listener, Outbox, spawn
from reelusher.wire import msgpack

CALL, ANSWER, NOTICE = 0, 1, 2  # of MessagePack-RPC
MOST_BODY = 2048
MOST_OPEN = 32 + 8  # open requests on one connection: the protocol's, and some whose answers cross new ones
MOST_FRAME = 1 << 14  # bytes of one request; its body and fields take a third of that
MOST_BAD = 8  # requests answered with an error, after which a connection is read no further
DOOR_AHEAD_US = 2_000_000  # a door later than the clock by more than that is wrong
DOOR_BEHIND_US = 10_000_000  # one older by more than that, beyond the longest deadline, is wrong
MOST_CALLER = 1 << 53  # callers that restart get new numbers, without end
BACKLOG_BYTES = 1 << 18  # answers that a slow caller may leave unread
SWEEP_S = 0.1  # between looks at idle connections
SILENT_S = 1.5  # a connection that has sent nothing whole is told to go after this
SILENT_LEAVE_S = 0.5  # and is closed after this
FRAME_S = 2.0  # a request that has begun must be whole within this
SPARE = 16  # connections past the most that may stand while those closed for them are let go
FRESH_S = 0.1  # a connection younger than this is not closed to make room
ROOM_PART = 16  # one in so many connections is closed at once to make room
# Above a part of the most, connections may be idle for so many seconds: those used once, and any other.
CROWDED = ((0.2, 4.0, 30.0), (0.5, 1.0, 4.0), (0.75, 0.3, 1.0))
CROWDED_LEAVE_S = 0.3  # a caller told `lastCall` then closes within this, or is closed
LEAVE_S = 2.0  # a caller told `lastCall` closes within this, or is closed
MOST_HELD_KB = 2000.0


class BadRequest(Exception):
    """A request that gets an error answer and never reaches the core; the text names what is wrong."""


class Enough(Exception):
    """A connection has sent so many bad requests that nothing more is read from it."""


class Connection:
    """One caller's connection. Its reader is the only thread that reads; answers come from the owner."""

    def __init__(self, sock: socket.socket, budget: Budget) -> None:
        self.sock = sock
        self.outbox = Outbox(sock, BACKLOG_BYTES, budget)
        self.lock = threading.Lock()
        self.open: dict[int, str] = {}  # message ids that are owed an answer, and their core names
        self.used = self.began = time.monotonic()
        self.heard = 0  # whole messages read
        self.bad = 0  # of them, answered with an error by the front
        self.partial_since = 0.0  # when the message that is not whole yet began; 0: there is none
        self.told_last = 0.0  # when `lastCall` was sent; 0: not yet
        self.ending = False  # its reader is to end it
        self.ended = False  # nothing more comes in

    def answer(self, number: int, error: Any, result: Any) -> None:
        """Send one answer; the connection ends once its caller has left and nothing is owed."""
        self.outbox.send(msgpack.pack([ANSWER, number, error, result]))
        with self.lock:
            self.open.pop(number, None)
            self.used = time.monotonic()
            done = self.ended and not self.open
        if done:
            self.outbox.close()

    def close_idle(self) -> None:
        """Let the reader end the connection, once it has read what has come in by now.

        It was closed here at once before: on a busy core, requests that lay unread were lost with it.
        """
        self.ending = True
        self.stop_reading()

    def last_call(self, now: float) -> None:
        """Tell the caller to send nothing more here."""
        with self.lock:
            if self.told_last:
                return
            self.told_last = now
        self.outbox.send(msgpack.pack([NOTICE, "lastCall", []]))

    def stop_reading(self) -> None:
        """Read nothing more; what is open is still answered, then the connection ends."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def idle_for(self, now: float) -> float:
        """Return for how long nothing has been open here."""
        with self.lock:
            return 0.0 if self.open else now - self.used


def number_of(fields: dict[Any, Any], name: str, least: float, most: float, default: float) -> float:
    """Read a number from the fields of a request."""
    text = fields.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except (TypeError, ValueError):
        raise BadRequest(f"{name} is no number") from None
    if not (math.isfinite(value) and least <= value <= most):
        raise BadRequest(f"{name} is out of range")
    return value


def subject_of(item: str) -> int:
    """Map what a read is about to a number that is never 0."""
    try:
        return int(item, 16) % (1 << 64) or 1
    except ValueError:
        return int.from_bytes(hashlib.blake2b(item.encode(), digest_size=8).digest(), "big") or 1


class PlatformFront:
    """Listens for callers. It holds `most` connections, and backlogs of so many bytes in total."""

    def __init__(self, core: Core, address: Address, tenant: str, most: int, backlog_bytes: int) -> None:
        self._most = most
        self._budget = Budget(backlog_bytes)
        self._door_behind_us = DOOR_BEHIND_US + max(kind.deadline_us for kind in core.settings.classes)
        self._core = core
        self._tenant = tenant
        self._kinds = {name: number for number, name in enumerate(core.class_names)}
        self._connections: dict[socket.socket, Connection] = {}
        self._lock = threading.Lock()
        self._closed = False
        self._listener = Listener("platform", address, core.counters, self._serve, self._admit)
        self.address = self._listener.address

    def start(self) -> None:
        """Start to listen."""
        self._listener.start()
        spawn("platform-sweeper", self._sweep)

    def stop_listening(self) -> None:
        """Accept no more connections, and tell callers to send nothing more on those that are open."""
        self._listener.stop()
        for connection in self._all():
            connection.last_call(time.monotonic())

    def close(self) -> None:
        """End everything at once."""
        self._closed = True
        self._listener.stop()
        for connection in self._all():
            connection.outbox.close()

    def open_connections(self) -> int:
        """Count the connections of callers."""
        return len(self._all())

    def flush(self, until: float) -> bool:
        """Wait until all answers are on their way, or until this time of the monotonic clock."""
        return sum(not connection.outbox.flush(until) for connection in self._all()) == 0

    def _all(self) -> list[Connection]:
        with self._lock:
            return list(self._connections.values())

    def _admit(self, sock: socket.socket) -> bool:
        """Take a new connection, and make room for it where the table is full."""
        count = len(self._connections)
        if count >= self._most + SPARE:
            return False
        if count >= self._most and not self._made_room():
            return False
        with self._lock:
            self._connections[sock] = Connection(sock, self._budget)
        return True

    def _made_room(self) -> bool:
        """Close some idle connections at once: a look through all of them for each new one costs a core."""
        now = time.monotonic()
        # who has never asked anything goes first, then who was used once, then who is idle for longest
        going = [(min(connection.heard, 2), connection.used, number, connection) for number, connection
                 in enumerate(self._all()) if not connection.open and not connection.partial_since
                 and now - connection.used > FRESH_S and not connection.ending]
        going = heapq.nsmallest(max(self._most // ROOM_PART, 1), going)
        for *_, connection in going:
            self._core.counters.add("platform.closed_for_room")
            connection.last_call(now)
            connection.close_idle()
        if going:
            self._core.counters.warn(
                "platform.full", "platform: {} connections are open: idle ones are closed for new ones",
                self._most)
        return bool(going)

    def _serve(self, sock: socket.socket, peer: Address) -> None:
        connection, decoder = self._connections[sock], msgpack.Decoder(MOST_FRAME)
        try:
            while data := sock.recv(1 << 14):
                for message in decoder.feed(data):
                    connection.partial_since = 0.0
                    self._take(connection, message)
                if not decoder.partial:
                    connection.partial_since = 0.0
                elif not connection.partial_since:
                    connection.partial_since = time.monotonic()
            self._end(connection)
        except Enough:
            self._core.counters.warn("platform.closed_bad",
                                     "platform: {}:{} is read no further after {} bad requests", *peer,
                                     connection.bad)
            connection.stop_reading()
            self._end(connection)
        except msgpack.Malformed as error:
            self._core.counters.warn("platform.malformed", "platform: {}:{} closed for a malformed frame: {}",
                                     *peer, error)
            self._lose(connection)
        except OSError:
            self._lose(connection)
        finally:
            connection.outbox.release()
            with self._lock:
                self._connections.pop(sock, None)

    def _end(self, connection: Connection) -> None:
        """The caller sends nothing more; what is open is still answered."""
        with connection.lock:
            connection.ended = True
        while connection.open and not connection.outbox.closed:
            time.sleep(SWEEP_S)

    def _lose(self, connection: Connection) -> None:
        """Nothing can be answered here any more."""
        with connection.lock:
            calls = tuple(name for name in connection.open.values() if name)
        if calls:
            self._core.post(Left(calls))

    def _take(self, connection: Connection, message: Any) -> None:
        """Take one message of a caller."""
        match message:
            case [0, int(number), str(method), list(params)] if (
                    not isinstance(number, bool) and 0 <= number < 1 << 32 and number not in connection.open):
                pass
            case _:
                raise msgpack.Malformed("not a request of MessagePack-RPC, or its id is open already")
        told = self._core.told
        connection.heard += 1
        with connection.lock:
            connection.used = time.monotonic()
        if method == "health":
            self._core.counters.add("health.asked")
            connection.answer(number, None, [told.healthy, self._fields(told.feedback)])
            return
        try:
            request = self._request(connection, number, method, params)
        except BadRequest as error:
            self._core.counters.warn("requests.bad", "platform: request answered with an error: {}", error)
            connection.answer(number, ["Bad", {**self._fields(told.feedback), "why": str(error)}], None)
            connection.bad += 1
            if connection.bad >= MOST_BAD:
                raise Enough from None
            return
        with connection.lock:
            connection.open[number] = request.call
        self._core.post(Arrived(request))

    def _request(self, connection: Connection, number: int, method: str, params: list[Any]) -> Request:
        """Check and translate a request."""
        kind = self._kinds.get(method)
        if kind is None:
            raise BadRequest("no such class")
        match params:
            case [dict(fields), bytes(body)]:
                pass
            case _:
                raise BadRequest("the parameters are not fields and a body")
        if len(body) > MOST_BODY:
            raise BadRequest(f"a body of more than {MOST_BODY} bytes")
        if len(connection.open) >= MOST_OPEN:
            raise BadRequest("too many open requests on this connection")
        call, key, item = fields.get("txn"), fields.get("unique", ""), fields.get("item", "")
        if not isinstance(call, str) or not 0 < len(call) <= 64 or not call.isascii() or not call.isalnum():
            raise BadRequest("txn is missing or malformed")
        if not isinstance(key, str) or not isinstance(item, str) or len(key) > 128 or len(item) > 128:
            raise BadRequest("unique or item is malformed")
        if self._core.settings.classes[kind].effect is io.Effect.KEYED and not key:
            raise BadRequest("unique is missing")
        number_of(fields, "standing", 0, 1, 0)  # the module ranks by class alone; a bad one is still an error
        now_us = self._core.clock.now()
        # a door far from the clock would set timers and keys that outlive everything else
        door_ms = number_of(fields, "door", (now_us - self._door_behind_us) / 1000,
                            (now_us + DOOR_AHEAD_US) / 1000, now_us / 1000)
        return Request(
            call=call, kind=kind, body=body, door_us=int(door_ms * 1000),
            reply=lambda answer: self._reply(connection, number, answer), tenant=self._tenant,
            caller=int(number_of(fields, "lb", 0, MOST_CALLER, 0)), subject=subject_of(item) if item else 0,
            held_kb=number_of(fields, "ram", 0, MOST_HELD_KB, 0.0),
            hint_us=int(number_of(fields, "cpu", 0, 3.6e6, 0) * 1000), key=key)

    @staticmethod
    def _fields(feedback: float | None) -> dict[str, str]:
        return {} if feedback is None else {"feedback": f"{feedback:.4f}"}

    def _reply(self, connection: Connection, number: int, answer: Answer) -> None:
        """Send the core's answer; called by the owner."""
        fields = self._fields(answer.feedback)
        if answer.verdict is Verdict.SERVED and answer.result is not None:
            connection.answer(number, None, [answer.result.body, fields])
        elif answer.verdict is Verdict.REFUSED:
            if answer.away_us:
                fields["later"] = str(answer.away_us // 1000)
            if answer.no_retry:
                fields["giveup"] = "1"
            connection.answer(number, ["Full", fields], None)
        else:
            connection.answer(number, ["Error", fields], None)

    def _sweep(self) -> None:
        """Look after connections that are silent, half asked or idle."""
        while not self._closed:
            time.sleep(SWEEP_S)
            now, connections = time.monotonic(), self._all()
            once_s, idle_s, leave_s = self._idle_limits(len(connections))
            for connection in connections:
                self._look_at(connection, now, once_s if connection.heard == 1 else idle_s, leave_s)

    def _idle_limits(self, count: int) -> tuple[float, float, float]:
        """Return how long one used once may be idle, any other may be, and may stay after `lastCall`."""
        usual, told = self._core.settings.idle_us, self._core.told.idle_us
        # callers close idle connections themselves; only an earlier wish, or a dead peer, is for us
        idle_s = (told if 0 < told < usual else 2 * usual) / 1e6 or math.inf
        once_s, leave_s = idle_s, LEAVE_S
        for least, once, other in CROWDED:
            if count > least * self._most:
                once_s, idle_s, leave_s = min(once_s, once), min(idle_s, other), CROWDED_LEAVE_S
        return once_s, idle_s, leave_s

    def _look_at(self, connection: Connection, now: float, limit_s: float, leave_s: float) -> None:
        """Close one connection if it is time: `lastCall` first, and never with open requests."""
        if connection.ending:
            return
        idle = connection.idle_for(now)
        begun = connection.partial_since
        if begun and now - begun > FRAME_S:
            self._core.counters.add("platform.closed_partial")
            connection.partial_since = 0.0
            connection.stop_reading()
        elif connection.told_last:
            if idle and now - connection.told_last > (leave_s if connection.heard else SILENT_LEAVE_S):
                connection.close_idle()
        elif not connection.heard and idle > SILENT_S:
            self._core.counters.add("platform.closed_silent")
            connection.last_call(now)
        elif idle > limit_s:
            self._core.counters.add("platform.closed_idle")
            connection.last_call(now)
