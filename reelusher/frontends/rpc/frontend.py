"""The platform's front: MessagePack-RPC over TCP, translated to the core's requests and answers."""

import hashlib
import heapq
import math
import socket
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from reelusher.codecs import msgpack
from reelusher.codecs.errors import MalformedError
from reelusher.core.event_loop import Core
from reelusher.core.messages import Answer, CallersDisconnected, IncomingRequest, RequestArrived, Verdict
from reelusher.drain.connection_shutdown import ConnectionShutdown, unread_bytes
from reelusher.drain.schedule import ConnectionPhase, ConnectionState, DrainObservation, DrainSchedule
from reelusher.net.listener import ConnectionResourcesError, Listener
from reelusher.net.poller import Poller
from reelusher.net.send_buffer import ByteBudget, SendBuffer
from reelusher.net.sockets import Address
from reelusher.policy.settings import Idempotency

CALL, ANSWER, NOTICE = 0, 1, 2  # of MessagePack-RPC
MOST_BODY = 2048
MOST_OPEN = 32 + 8  # open requests on one connection: the protocol's, and some whose answers cross new ones
MOST_FRAME = 1 << 14  # bytes of one request; its body and fields take a third of that
MOST_BAD = 8  # requests answered with an error, after which a connection is to go
DOOR_AHEAD_US = 2_000_000  # a door later than the clock by more than that is wrong
DOOR_BEHIND_US = 10_000_000  # one older by more than that, beyond the longest deadline, is wrong
MOST_CALLER = 1 << 53  # callers that restart get new numbers, without end
BACKLOG_BYTES = 1 << 18  # answers that a slow caller may leave unread
SWEEP_S = 0.1  # between looks at idle connections
SILENT_S = 1.5  # a connection that has sent nothing whole is told to go after this
SILENT_LEAVE_S = 0.5  # and is closed after this
FRAME_S = 2.0  # a request that has begun must be whole within this
HALF_ASKED_S = 0.4  # and where the table is full, within that and `FRESH_S`
SPARE = 16  # connections past the most, which are refused and then go
FRESH_S = 0.1  # a connection younger than this is not closed to make room
ROOM_PART = 16  # one in so many connections is closed at once to make room
# Above a part of the most, connections may be idle for so many seconds: those used once, and any other.
CROWDED = ((0.2, 4.0, 30.0), (0.5, 1.0, 4.0), (0.75, 0.3, 1.0))
CROWDED_LEAVE_S = 0.3  # a caller told `lastCall` then closes within this, or is closed
LEAVE_S = 2.0  # a caller told `lastCall` closes within this, or is closed
LINGER_S, LINGER_BYTES = 0.5, 1 << 16  # what still comes behind the last answer is read for so long, unheeded
MOST_LINGERING = 32  # connections that are read so; past them the oldest is closed as it is
LINGERING_PART, SPARE_PART = 16, 32  # and of few descriptors, one in so many for these two uses
DESCRIPTORS = 3  # of its own: the listener, and the poller's two
MOST_HELD_KB = 2000.0
READ_BYTES = 1 << 14  # of one connection before others have their turn
MOST_READS = 8  # such pieces at one look; a flood that was read to its end held up all other callers
MOST_ACCEPTED = 32  # connections taken before those that are open have their turn
DROPPED_S = 5.0  # a class that was dropped is still taken for so long: callers hear of it late
LATER_MS = 100  # how long a caller refused at the door is asked to stay away, as the module asks at least


class BadRequestError(Exception):
    """A request that gets an error answer and never reaches the core; the text names what is wrong."""


class Connection:
    """One caller's connection. The poller is the only thread that reads; answers come from the owner."""

    def __init__(self, sock: socket.socket, budget: ByteBudget, peer: Address = ("", 0)) -> None:
        self.sock = sock
        self.peer = peer
        self.outbox = SendBuffer(sock, BACKLOG_BYTES, budget)
        self.decoder = msgpack.Decoder(MOST_FRAME)
        self.lock = threading.Lock()
        self.open: dict[int, str] = {}  # message ids that are owed an answer, and their core names
        self.sending = 0  # answers that are being sent
        self.used = time.monotonic()
        self.heard = 0  # whole messages read
        self.bad = 0  # of them, answered with an error by the front
        self.refused_since = 0.0  # since when all that it asks is refused, until it goes; 0: it is not
        self.partial_since = 0.0  # when the message that is not whole yet began; 0: there is none
        self.told_last = 0.0  # when `lastCall` was sent; 0: not yet
        self.ended = False  # nothing more is taken; it goes once nothing is owed on it
        self.heard_out = False  # and nothing more can come: the other side has shut its writing side
        self.phase = ConnectionPhase.SERVING  # of a drain

    @property
    def state(self) -> ConnectionState:
        """What is still to be done on it in a drain."""
        return ConnectionState(self.owed, self.outbox.backlog, 0 if self.ended else unread_bytes(self.sock))

    @property
    def owed(self) -> int:
        """Requests that have not got their answer."""
        return len(self.open) + self.sending

    def answer(self, number: int, error: Any, result: Any) -> None:
        """Send the answer to what is open, once: the owner, and the poller at the end, may both have one."""
        with self.lock:
            if number not in self.open:
                return
            # popped before it is sent, and still counted: or a look between the two would find nothing owed
            self.sending += 1
            del self.open[number]
        self.say(number, error, result)
        with self.lock:
            self.sending -= 1
            self.used = time.monotonic()

    def say(self, number: int, error: Any, result: Any) -> None:
        """Send the answer to what never was open."""
        self.outbox.send(msgpack.pack([ANSWER, number, error, result]))

    def send_last_call(self, now: float) -> None:
        """Tell the caller to send nothing more here."""
        with self.lock:
            if self.told_last:
                return
            self.told_last = now
        self.outbox.send(msgpack.pack([NOTICE, "lastCall", []]))

    def idle_for(self, now: float) -> float:
        """Return for how long nothing has been open here."""
        with self.lock:
            return 0.0 if self.owed else now - self.used


class Lingering:
    """A connection whose answers are all out and whose writing side is shut; what still comes is not heeded.

    A close with something unread would reset the connection, and the answers on their way with it.
    """

    def __init__(self, connection: Connection, until_s: float) -> None:
        self.connection, self.until_s = connection, until_s
        self.left = LINGER_BYTES


def number_of(fields: dict[Any, Any], name: str, least: float, most: float, default: float) -> float:
    """Read a number from the fields of a request."""
    text = fields.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except (TypeError, ValueError):
        raise BadRequestError(f"{name} is no number") from None
    if not (math.isfinite(value) and least <= value <= most):
        raise BadRequestError(f"{name} is out of range")
    return value


def subject_of(item: str) -> int:
    """Map what a read is about to a number that is never 0."""
    try:
        return int(item, 16) % (1 << 64) or 1
    except ValueError:
        return int.from_bytes(hashlib.blake2b(item.encode(), digest_size=8).digest(), "big") or 1


class RpcFrontend:
    """Listens for callers. It spends `most` descriptors on them, and so many bytes in total on backlogs.

    One thread, the poller, accepts, reads, and looks after connections. What it reads goes to the owner's
    queue, and nothing that it does waits for anything.
    """

    def __init__(
        self,
        core: Core,
        address: Address,
        tenant: str,
        most: int,
        backlog_bytes: int,
        late: Callable[[float], None] = lambda late_s: None,
        shared: bool = False,
    ) -> None:
        self._spare = min(SPARE, max(1, most // SPARE_PART))
        self._most_lingering = min(MOST_LINGERING, max(1, most // LINGERING_PART))
        self._most = max(1, most - self._spare - self._most_lingering)
        self._budget = ByteBudget(backlog_bytes)
        self._longest_us = max(kind.deadline_us for kind in core.settings.classes)
        self._core = core
        self._tenant = tenant
        self._kinds = {name: number for number, name in enumerate(core.class_names)}
        self._dropped: dict[str, tuple[int, float]] = {}  # gone, and until when they are taken
        self._connections: dict[socket.socket, Connection] = {}
        self._lingering: dict[socket.socket, Lingering] = {}  # the oldest first
        self._lock = threading.Lock()
        self._resting = False  # no descriptor was left for a new connection
        self._refuses = False  # what is read is refused at once
        self._poller = Poller("platform-poller", core.counters, late)
        self._listener = Listener("platform", address, core.counters, shared=shared)
        self._poller.watch(self._listener.sock, self._accept)
        self._poller.every(SWEEP_S, self._sweep)
        self._shutdown = ConnectionShutdown(self._poller, self)
        self.address = self._listener.address

    def start(self) -> None:
        """Start to listen."""
        self._poller.start()

    def retune(self, kinds: dict[str, int]) -> None:
        """Take requests of these classes from now on; the core knows them already. From any thread."""
        now = time.monotonic()
        still = {name: known for name, known in self._dropped.items() if known[1] > now}  # of a reload before
        self._dropped = still | {
            name: (number, now + DROPPED_S) for name, number in self._kinds.items() if name not in kinds
        }
        self._longest_us = max(kind.deadline_us for kind in self._core.settings.classes)
        self._kinds = kinds

    def _kind_of(self, method: str) -> int:
        kind = self._kinds.get(method)
        if kind is None:
            kind, until = self._dropped.get(method, (0, 0.0))
            if time.monotonic() >= until:
                raise BadRequestError("no such class")
        return kind

    def drain(self, schedule: DrainSchedule) -> None:
        """Follow this schedule, which may be replaced by an earlier one."""
        self._shutdown.follow(schedule)

    def drain_observation(self) -> DrainObservation | None:
        """Return the latest observation of all connections."""
        return self._shutdown.observation

    def close(self) -> None:
        """End everything at once."""
        if self._poller.started:
            self._poller.call(self._close)
        else:
            self._close()

    def _close(self) -> None:
        for connection in self._all():
            connection.outbox.close()
            self._release(connection)
        for sock in list(self._lingering):
            self._part(sock)
        self.stop_listening()
        self._poller.close()

    def open_connections(self) -> int:
        """Count the connections of callers."""
        return len(self._connections)

    def _all(self) -> list[Connection]:
        with self._lock:
            return list(self._connections.values())

    # At the end, called by the poller's thread

    def stop_listening(self) -> None:
        """Accept what has connected by now, then nothing more."""
        if self._listener.sock.fileno() >= 0:
            while self._accept(leaving=True):
                pass
            self._poller.forget(self._listener.sock)
            self._listener.stop()

    def connections(self) -> list[Connection]:
        """Return the open connections."""
        return self._all()

    def reject_requests(self) -> None:
        """Reject all requests that are read from now on."""
        self._refuses = True

    def read_pending(self, connection: Connection) -> None:
        """Read what has come in on a connection; of one that goes on sending, as much as others can wait."""
        for _ in range(MOST_READS):
            if not self._read(connection):
                return

    # Accepting

    def _accept(self, leaving: bool = False) -> bool:
        """Take connections; False where none waits. `leaving`: all that wait, however many there are."""
        for _ in range(MOST_ACCEPTED):
            try:
                taken = self._listener.take()
            except BlockingIOError:
                return False
            except ConnectionResourcesError:
                self._rest()
                return False
            if taken is None:
                continue
            connection = Connection(taken[0], self._budget, taken[1])
            if len(self._connections) >= self._most and not self._made_room():
                # it may have asked by now, and a close would lose that: it is refused, and then it goes
                self._core.counters.add("platform.turned_away")
                connection.refused_since = time.monotonic()
            with self._lock:
                self._connections[connection.sock] = connection
            self._poller.watch(connection.sock, partial(self._read, connection))
            if len(self._connections) >= self._most + self._spare and not leaving:
                self._rest()
                return False
        return True

    def _rest(self) -> None:
        """Accept nothing until the next sweep; callers wait in the backlog."""
        self._poller.forget(self._listener.sock)
        self._resting = True

    def _made_room(self) -> bool:
        """Close some idle connections at once: a look through all of them for each new one costs a core."""
        now = time.monotonic()
        # who has never asked anything goes first, then who was used once, then who is idle for longest; who
        # is in the middle of asking goes only where there is nobody else
        going = [
            (3 if connection.partial_since else min(connection.heard, 2), connection.used, number, connection)
            for number, connection in enumerate(self._all())
            if not connection.owed
            and not connection.ended
            and not connection.refused_since
            and (not connection.outbox.backlog or connection.outbox.stalled_for(now) > FRAME_S)
            and now - max(connection.used, connection.partial_since + HALF_ASKED_S) > FRESH_S
        ]
        going = heapq.nsmallest(max(self._most // ROOM_PART, 1), going)
        for *_, connection in going:
            self._core.counters.add("platform.closed_for_room")
            if connection.outbox.backlog:
                connection.outbox.close()
            connection.send_last_call(now)
            self._close_idle(connection)
        if going:
            self._core.counters.warn(
                "platform.full",
                "platform: {} connections are open: idle ones are closed for new ones",
                self._most,
            )
        return len(self._connections) < self._most

    # Reading

    def _read(self, connection: Connection) -> bool:
        """Take what has come in, a piece at most; False where nothing more is there or ever comes."""
        if connection.ended:
            return False
        try:
            data = connection.sock.recv(READ_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            self._lose(connection)
            return False
        if not data:
            self._end(connection)  # nothing more can come
            return False
        if connection.outbox.closed:  # nothing can be answered here any more, so nothing is run either
            return True
        try:
            for message in connection.decoder.feed(data):
                connection.partial_since = 0.0
                self._take(connection, message)
        except MalformedError as error:
            self._core.counters.warn(
                "platform.malformed",
                "platform: {}:{} closed for a malformed frame: {}",
                *connection.peer,
                error,
            )
            self._fail_open(connection)
            return False
        if not connection.decoder.partial:
            connection.partial_since = 0.0
        elif not connection.partial_since:
            connection.partial_since = time.monotonic()
        return True

    def _end(self, connection: Connection, heard_out: bool = True) -> None:
        """Take nothing more; what is open is still answered. `heard_out`: nothing more can come either."""
        self._poller.forget(connection.sock)
        with connection.lock:
            connection.ended, connection.heard_out = True, heard_out
        self._let_go(connection)

    def _let_go(self, connection: Connection) -> None:
        """End a connection once all that is owed on it has gone out, so that no answer is lost on its way."""
        if connection.owed or (connection.outbox.backlog and not connection.outbox.closed):
            return  # the next sweep looks again
        if connection.heard_out:
            self._release(connection)
            return
        if not connection.outbox.shut():
            return  # its writer is at its very end: a close now would be a reset
        with self._lock:
            self._connections.pop(connection.sock, None)
        connection.ended = True
        self._poller.forget(connection.sock)
        if len(self._lingering) >= self._most_lingering:
            self._core.counters.add("platform.linger_cut")
            self._part(next(iter(self._lingering)))
        self._lingering[connection.sock] = Lingering(connection, time.monotonic() + LINGER_S)
        self._poller.watch(connection.sock, partial(self._hear_out, connection.sock))

    def _hear_out(self, sock: socket.socket) -> None:
        """Read on, unheeded, to the other side's end, or as far as `LINGER_BYTES` go."""
        one = self._lingering[sock]
        try:
            got = len(sock.recv(READ_BYTES, socket.MSG_DONTWAIT))
        except BlockingIOError:
            return
        except OSError:
            got = 0
        one.left -= got
        if not got or one.left <= 0:
            self._part(sock)

    def _part(self, sock: socket.socket) -> None:
        self._release(self._lingering.pop(sock).connection)

    def _lose(self, connection: Connection) -> None:
        """Nothing can be answered here any more."""
        with connection.lock:
            calls = tuple(name for name in connection.open.values() if name)
        self._release(connection)
        if calls:
            self._core.post(CallersDisconnected(calls))

    def _fail_open(self, connection: Connection) -> None:
        """Answer what is open with an error, then end: who sends such bytes must still not lose an answer.

        They were dropped without one. Served they must not be, since nothing tells any more which request
        an answer would be taken for.
        """
        self.fail_open_requests(connection)
        self._end(connection, heard_out=False)

    def fail_open_requests(self, connection: Connection) -> None:
        """Answer what is still open with an error, whatever its run may come to."""
        with connection.lock:
            calls = dict(connection.open)
        for number in calls:
            connection.answer(number, ["Error", self._fields(self._core.notices.advertised_capacity)], None)
        if calls:
            self._core.counters.add("platform.failed_at_the_end", len(calls))
            self._core.post(CallersDisconnected(tuple(calls.values())))

    def _release(self, connection: Connection) -> None:
        """Let go of a connection."""
        self._poller.forget(connection.sock)
        with self._lock:
            self._connections.pop(connection.sock, None)
        connection.ended = True
        connection.outbox.release()

    def _close_idle(self, connection: Connection) -> None:
        """End a connection that carries nothing, once what has come in by now is read.

        It was closed at once before: on a busy core, requests that lay unread were lost with it. What comes
        between that look and the shutdown crosses it: it is not heeded, and its caller sends it again.
        """
        self.read_pending(connection)
        if (
            not connection.owed
            and not connection.ended
            and not connection.outbox.backlog
            and (not unread_bytes(connection.sock) or connection.outbox.closed)
        ):
            self._let_go(connection)

    def _take(self, connection: Connection, message: Any) -> None:
        """Take one message of a caller."""
        match message:
            case [0, int(number), str(method), list(params)] if (
                not isinstance(number, bool) and 0 <= number < 1 << 32
            ):
                if number in connection.open:
                    raise MalformedError(f"the id {number} is open already")
            case _:
                raise MalformedError("not a request of MessagePack-RPC")
        told = self._core.notices
        connection.heard += 1
        with connection.lock:
            connection.used = time.monotonic()
        if method == "health":
            self._core.counters.add("health.asked")
            connection.say(number, None, [told.reports_healthy, self._fields(told.advertised_capacity)])
            return
        if self._refuses or connection.refused_since:
            self._core.counters.add("drain.refused_at_the_door" if self._refuses else "platform.refused")
            if method in self._kinds:
                self._core.stats.request_read()
                self._core.stats.request_answered(method, Verdict.REJECTED)
            fields = self._fields(told.advertised_capacity)
            if self._core.settings.max_retry_after_us:
                fields["later"] = str(min(LATER_MS, self._core.settings.max_retry_after_us // 1000))
            connection.say(number, ["Full", fields], None)
            return
        try:
            request = self._request(connection, number, method, params)
        except BadRequestError as error:
            self._core.counters.warn("requests.bad", "platform: request answered with an error: {}", error)
            connection.say(
                number, ["Bad", {**self._fields(told.advertised_capacity), "why": str(error)}], None
            )
            connection.bad += 1
            if connection.bad >= MOST_BAD:
                connection.refused_since = time.monotonic()
                self._core.counters.warn(
                    "platform.closed_bad",
                    "platform: {}:{} is closed after {} bad requests",
                    *connection.peer,
                    connection.bad,
                )
            return
        with connection.lock:
            connection.open[number] = request.run_id
        self._core.post(RequestArrived(request))

    def _request(
        self, connection: Connection, number: int, method: str, params: list[Any]
    ) -> IncomingRequest:
        """Check and translate a request."""
        kind = self._kind_of(method)
        match params:
            case [dict(fields), bytes(body)]:
                pass
            case _:
                raise BadRequestError("the parameters are not fields and a body")
        if len(body) > MOST_BODY:
            raise BadRequestError(f"a body of more than {MOST_BODY} bytes")
        if len(connection.open) >= MOST_OPEN:
            raise BadRequestError("too many open requests on this connection")
        call, key, item = fields.get("txn"), fields.get("unique", ""), fields.get("item", "")
        if not isinstance(call, str) or not 0 < len(call) <= 64 or not call.isascii() or not call.isalnum():
            raise BadRequestError("txn is missing or malformed")
        if not isinstance(key, str) or not isinstance(item, str) or len(key) > 128 or len(item) > 128:
            raise BadRequestError("unique or item is malformed")
        if self._core.settings.classes[kind].idempotency is Idempotency.IDEMPOTENCY_KEY and not key:
            raise BadRequestError("unique is missing")
        number_of(fields, "standing", 0, 1, 0)  # the module ranks by class alone; a bad one is still an error
        ahead_us = self._core.clock.unix_ahead_us()
        unix_us = self._core.clock.now() + ahead_us
        # a door far from the clock would set timers and keys that outlive everything else
        door_ms = number_of(
            fields,
            "door",
            (unix_us - DOOR_BEHIND_US - self._longest_us) / 1000,
            (unix_us + DOOR_AHEAD_US) / 1000,
            unix_us / 1000,
        )
        return IncomingRequest(
            run_id=call,
            class_index=kind,
            body=body,
            received_us=int(door_ms * 1000) - ahead_us,
            reply=lambda answer: self._reply(connection, number, answer),
            tenant=self._tenant,
            caller=int(number_of(fields, "lb", 0, MOST_CALLER, 0)),
            subject=subject_of(item) if item else 0,
            held_kb=number_of(fields, "ram", 0, MOST_HELD_KB, 0.0),
            expected_work_us=int(number_of(fields, "cpu", 0, 3.6e6, 0) * 1000),
            idempotency_key=key,
        )

    @staticmethod
    def _fields(feedback: float | None) -> dict[str, str]:
        return {} if feedback is None else {"feedback": f"{feedback:.4f}"}

    def _reply(self, connection: Connection, number: int, answer: Answer) -> None:
        """Send the core's answer; called by the owner."""
        fields = self._fields(answer.advertised_capacity)
        if answer.verdict is Verdict.SERVED and answer.result is not None:
            connection.answer(number, None, [answer.result.body, fields])
        elif answer.verdict is Verdict.REJECTED:
            if answer.retry_after_us:
                fields["later"] = str(answer.retry_after_us // 1000)
            if answer.no_retry:
                fields["giveup"] = "1"
            connection.answer(number, ["Full", fields], None)
        else:
            connection.answer(number, ["Error", fields], None)

    def _sweep(self) -> None:
        """Look after connections that are silent, half asked, idle, or at their end."""
        if self._resting:
            self._resting = False
            if self._listener.sock.fileno() >= 0:
                self._poller.watch(self._listener.sock, self._accept)
        now, connections = time.monotonic(), self._all()
        once_s, idle_s, leave_s = self._idle_limits(len(connections))
        for connection in connections:
            self._look_at(connection, now, once_s if connection.heard == 1 else idle_s, leave_s)
        for sock in [sock for sock, one in self._lingering.items() if now >= one.until_s]:
            self._part(sock)

    def _idle_limits(self, count: int) -> tuple[float, float, float]:
        """Return how long one used once may be idle, any other may be, and may stay after `lastCall`."""
        usual, told = self._core.settings.idle_timeout_us, self._core.notices.idle_timeout_us
        # callers close idle connections themselves; only an earlier wish, or a dead peer, is for us
        idle_s = (told if 0 < told < usual else 2 * usual) / 1e6 or math.inf
        once_s, leave_s = idle_s, LEAVE_S
        for least, once, other in CROWDED:
            if count > least * self._most:
                once_s, idle_s, leave_s = min(once_s, once), min(idle_s, other), CROWDED_LEAVE_S
        return once_s, idle_s, leave_s

    def _end_refused(self, connection: Connection, now: float) -> None:
        """End a connection that was refused, once its time is over."""
        if now - connection.refused_since > LINGER_S:
            self.read_pending(connection)  # on a busy core what it asked may lie there still
            if not connection.ended:
                self._end(connection, heard_out=False)

    def _end_partial(self, connection: Connection, begun: float) -> None:
        """End a connection whose message does not get complete."""
        self.read_pending(connection)
        if not connection.ended and connection.partial_since == begun:
            self._core.counters.add("platform.closed_partial")
            self._end(connection, heard_out=False)

    def _look_at(self, connection: Connection, now: float, limit_s: float, leave_s: float) -> None:
        """Close one connection if it is time: `lastCall` first, and never with open requests."""
        if connection.outbox.stalled_for(now) * 1e6 > self._longest_us:  # nobody waits for what it holds
            self._core.counters.add("platform.closed_stalled")
            connection.outbox.close()
        if connection.ended:
            if connection.outbox.closed:
                self._release(connection)
            else:
                self._let_go(connection)
            return
        idle = connection.idle_for(now)
        begun = connection.partial_since
        if connection.refused_since:
            self._end_refused(connection, now)
        elif begun and now - begun > FRAME_S:
            self._end_partial(connection, begun)
        elif connection.told_last:
            if idle and now - connection.told_last > (leave_s if connection.heard else SILENT_LEAVE_S):
                self._close_idle(connection)
        elif not connection.heard and idle > SILENT_S:
            self._core.counters.add("platform.closed_silent")
            connection.send_last_call(now)
        elif idle > limit_s:
            self._core.counters.add("platform.closed_idle")
            connection.send_last_call(now)
