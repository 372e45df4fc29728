"""Protocol endpoints of the stand-ins: registry, downstream service, runtime, and callers' connections."""

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from reelusher.codecs import http1, lines, msgpack
from reelusher.codecs.errors import MalformedError
from reelusher.config.checked_table import Address
from reelusher.lab.fleet.account import Attempt
from reelusher.lab.fleet.callers import Caller
from reelusher.lab.fleet.relay import FaultProxyNetwork, Link
from reelusher.lab.fleet.services import DownstreamService, Job, Runtime, ServiceRegistry, result_body

MAX_OPEN_REQUESTS = 32  # on one connection, as the protocol states
MAX_KEPT_NOTICES = 4000  # of one runtime, for resending after a reconnect
# a request sent at most this long before the node closed may have arrived too late, and then it never ran
MAX_CROSSING_S = 0.05
NOTICE = 2  # the type of a MessagePack-RPC message that expects no answer
LAST_CALL_NOTICE = "lastCall"
VERDICTS = {"Full": "refused"}


class StandInConnection(asyncio.Protocol):
    """A connection of a stand-in; malformed data aborts it."""

    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def write(self, data: bytes) -> None:
        """Write, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            self.handle_data(data)
        except (ValueError, KeyError, MalformedError):
            self.transport.abort()

    def handle_data(self, data: bytes) -> None:
        raise NotImplementedError


class RegistryConnection(StandInConnection):
    """A node's connection to the service registry."""

    def __init__(self, service: ServiceRegistry) -> None:
        self.service, self.decoder = service, http1.Decoder()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.service.unavailable:
            self.transport.abort()

    def handle_data(self, data: bytes) -> None:
        for message in self.decoder.feed(data):
            self.service.report(message.start[1].rsplit("/", 1)[-1], lambda: self.write(http1.response(204)))
            if self.service.unavailable:
                self.transport.abort()


class DownstreamCallDecoder:
    """Splits what a node sends to a downstream service into verb, run id and body."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[tuple[str, str, bytes]]:
        """Accept further bytes and return the messages that are complete."""
        self.buffer += data
        messages = []
        while b"\r\n" in self.buffer:
            head, rest = self.buffer.split(b"\r\n", 1)
            words = head.decode().split(" ")
            size = int(words[3]) if words[0] == "ask" else -2
            if len(rest) < size + 2:
                break
            messages.append((words[0], words[1], rest[: max(size, 0)]))
            self.buffer = rest[size + 2 :]
        return messages


class DownstreamConnection(StandInConnection):
    """A node's connection to a downstream service."""

    def __init__(self, service: DownstreamService) -> None:
        self.service, self.decoder, self.open_calls = service, DownstreamCallDecoder(), dict[str, int]()

    def handle_data(self, data: bytes) -> None:
        for verb, run_id, _ in self.decoder.feed(data):
            self.service.cancel(self.open_calls.pop(run_id, 0))
            if verb == "ask":
                self.start_call(run_id)

    def start_call(self, run_id: str) -> None:
        """Begin a call at the service."""
        number = self.service.call(partial(self.send_reply, run_id))
        if number:
            self.open_calls[run_id] = number

    def send_reply(self, run_id: str, status: str) -> None:
        """Write the reply to a call."""
        self.open_calls.pop(run_id, None)
        self.write(
            f"{run_id} yes 2\r\nok\r\n".encode() if status == "yes" else f"{run_id} {status}\r\n".encode()
        )

    def connection_lost(self, error: Exception | None) -> None:
        for number in self.open_calls.values():
            self.service.cancel(number)
        self.open_calls.clear()


class RuntimeHost:
    """A node's runtime and its notices, which are kept when the connection is lost."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime, self.connection = runtime, None
        runtime.on_finished, runtime.on_call_needed = self.on_finished, self.on_call_needed
        self.restart()

    connection: "RuntimeConnection | None"

    def restart(self) -> None:
        """Number notices from 1 again, as at each start of the node."""
        self.serial = 0
        self.notices: deque[tuple[int, bytes]] = deque(maxlen=MAX_KEPT_NOTICES)
        self.remaining_work_ms: dict[str, float] = {}  # of runs that wait for their call

    def notice(self, **fields: Any) -> None:
        """Send a notice, which is sent again after a reconnect if the node has not received it."""
        self.serial += 1
        line = lines.encode_json_line({**fields, "serial": self.serial})
        self.notices.append((self.serial, line))
        if self.connection is not None:
            self.connection.write(line)

    def on_finished(self, job: Job) -> None:
        """Send a notice that a run has finished."""
        duration_ms = (self.runtime.scheduler.time() - job.started_s) * 1000
        self.notice(
            msg="end",
            call=job.run_id,
            how="ok",
            duration=duration_ms,
            blob=lines.encode_body(result_body(job)),
        )

    def on_call_needed(self, job: Job, ms: float) -> None:
        """Send a notice that a run waits for its call."""
        self.remaining_work_ms[job.run_id] = ms
        self.notice(msg="wants", call=job.run_id, blob=lines.encode_body(job.body))


class RuntimeConnection(StandInConnection):
    """A node's connection to its runtime."""

    def __init__(self, host: RuntimeHost) -> None:
        self.host, self.decoder = host, lines.JsonLineDecoder()

    def handle_data(self, data: bytes) -> None:
        host = self.host
        for message in self.decoder.feed(data):
            run_id = str(message.get("call", ""))
            match message["msg"]:
                case "sync":
                    host.connection = self
                    up_ms = (host.runtime.scheduler.time() - host.runtime.started_s) * 1000
                    self.write(lines.encode_json_line({"msg": "ready", "how": "warm", "duration": up_ms}))
                    for serial, line in host.notices:
                        if serial > message["serial"]:
                            self.write(line)
                case "gauges":
                    self.write(
                        lines.encode_json_line(
                            {"msg": "load", "cookie": message["cookie"], "stats": host.runtime.gauges()}
                        )
                    )
                case "start":
                    host.runtime.start(run_id, message["service"], lines.decode_body(message["blob"]))
                case "give" | "omit" if run_id in host.remaining_work_ms:
                    host.runtime.continue_run(
                        run_id, host.remaining_work_ms.pop(run_id), message["msg"] == "omit"
                    )

    def connection_lost(self, error: Exception | None) -> None:
        if self.host.connection is self:
            self.host.connection = None


class CallerConnection(StandInConnection):
    """A caller's connection to a node."""

    def __init__(
        self,
        caller: Caller,
        node: str,
        link: Link,
        on_unusable: Callable[["CallerConnection"], None],
        is_alive: Callable[[str], bool],
    ) -> None:
        self.caller, self.node, self.link, self.on_unusable, self.is_alive = (
            caller,
            node,
            link,
            on_unusable,
            is_alive,
        )
        self.decoder, self.message_ids = msgpack.Decoder(), itertools.count(1)
        self.open_attempts: dict[int, Attempt] = {}
        self.answered: dict[int, Attempt] = {}
        self.last_call_received = False
        self.written_bytes = 0
        self.end_offsets: dict[int, int] = {}  # of open attempts, within the bytes written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.address = transport.get_extra_info("sockname")

    def send_request(self, attempt: Attempt) -> None:
        """Send an attempt on this connection, and set `attempt.sent_s` to now."""
        message_id, request = next(self.message_ids), attempt.request
        fields = {
            "txn": attempt.run_id,
            "lb": str(self.caller.number),
            "ram": "10",
            "cpu": f"{request.request_class.work_ms:.2f}",
            "door": str(time.time_ns() // 1_000_000),
        }
        if request.key:
            fields["unique"] = request.key
        data = msgpack.pack([0, message_id, request.request_class.name, [fields, request.body]])
        self.write(data)
        self.written_bytes += len(data)
        self.end_offsets[message_id] = self.written_bytes
        attempt.sent_s = self.caller.scheduler.time() - self.caller.history.load_start_s
        self.open_attempts[message_id] = attempt

    def handle_data(self, data: bytes) -> None:
        for message in self.decoder.feed(data):
            if message[0] == NOTICE:
                if self.is_last_call(message):  # no more requests may be sent on this connection
                    self.last_call_received = True
                    self.on_unusable(self)
                continue
            _, message_id, error, result = message
            attempt = self.open_attempts.pop(message_id, None)
            if attempt is None:  # a second answer, or an answer to no attempt
                if message_id in self.answered:
                    self.caller.on_answer(self.answered[message_id], "again", {}, b"")
                else:
                    self.caller.history.violations.append(
                        f"{self.node} answered {message_id}, which is not open"
                    )
                continue
            self.answered[message_id] = attempt
            if error:
                self.caller.on_answer(attempt, VERDICTS.get(error[0], "failed"), error[1], b"")
            else:
                self.caller.on_answer(attempt, "served", result[1], result[0])
        if self.last_call_received and not self.open_attempts:
            self.transport.close()

    def is_last_call(self, message: list[Any]) -> bool:
        """Return whether a notice asks the caller to send no more requests on its connection."""
        return bool(message[1] == LAST_CALL_NOTICE)

    def connection_lost(self, error: Exception | None) -> None:
        self.on_unusable(self)
        now = self.caller.scheduler.time()
        open_attempts, self.open_attempts = self.open_attempts, {}
        history, proxied = self.caller.history, self.link.connection_by_peer.pop(self.address, None)
        for message_id, attempt in open_attempts.items():
            age_s = now - history.load_start_s - attempt.sent_s
            fault_in_path = not self.is_alive(self.node) or self.link.had_fault_since(now - age_s)
            # a request that the proxy did not deliver in full was never read by the node
            unread = proxied is None or proxied.delivered_bytes < self.end_offsets[message_id]
            may_have_crossed = age_s <= MAX_CROSSING_S + history.total_lag_since(attempt.sent_s)
            self.caller.on_no_answer(
                attempt,
                fault_in_path or unread or may_have_crossed,
                may_have_run=not unread and not may_have_crossed,
            )


class CallerConnections:
    """The connections of all callers to all nodes; a `callers.Transport`."""

    def __init__(
        self,
        network: FaultProxyNetwork,
        node_addresses: dict[str, Address],
        is_alive: Callable[[str], bool],
        read_request: Callable[[str], None],
    ) -> None:
        self.network, self.node_addresses, self.is_alive, self.read_request = (
            network,
            node_addresses,
            is_alive,
            read_request,
        )
        self.connections: dict[tuple[int, str], CallerConnection] = {}

    def send(self, caller: Caller, attempt: Attempt) -> None:
        """Send an attempt on the caller's connection to the node, or on a new one."""
        connection = self.connections.get((caller.number, attempt.node))
        if (
            connection is not None
            and not connection.transport.is_closing()
            and len(connection.open_attempts) < MAX_OPEN_REQUESTS
        ):
            connection.send_request(attempt)
            self.read_request(attempt.node)
            return
        self.network.spawn(self._open(caller, attempt))

    async def _open(self, caller: Caller, attempt: Attempt) -> None:
        loop, node = asyncio.get_running_loop(), attempt.node
        address = await self.network.open_link_proxy(caller.endpoint, node, self.node_addresses[node])
        link = self.network.links[caller.endpoint, node]
        try:
            _, connection = await loop.create_connection(
                lambda: CallerConnection(caller, node, link, self._remove, self.is_alive), *address
            )
        except OSError:
            caller.on_no_answer(attempt, True, may_have_run=False)
            return
        self.connections[caller.number, node] = connection
        connection.send_request(attempt)
        self.read_request(node)

    def _remove(self, connection: CallerConnection) -> None:
        if self.connections.get((connection.caller.number, connection.node)) is connection:
            del self.connections[connection.caller.number, connection.node]
