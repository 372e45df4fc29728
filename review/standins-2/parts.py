"""Stand-ins and helpers of the second review: callers, runtime, vault, relay, and the processes under test.

They follow the operators' pages and share no code with the program. A case is a function `play(case)` that
returns the violations that it found; `main` runs it and turns the outcome into the exit status of a script:
1 the rule was broken, 0 it held, 2 the case could not run.
"""

import base64
import contextlib
import heapq
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MAX_PLAY_S = 112.0  # of the 120 s that a script may run
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be played to a verdict."""


# MessagePack, as far as callers need it


def pack(value: Any) -> bytes:
    """Encode a value."""
    if value is None:
        return b"\xc0"
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return bytes([value]) if 0 <= value < 128 else struct.pack(">BI", 0xCE, value)
    if isinstance(value, str):
        data = value.encode()
        return (bytes([0xA0 | len(data)]) if len(data) < 32 else struct.pack(">BB", 0xD9, len(data))) + data
    if isinstance(value, bytes):
        return struct.pack(">BH", 0xC5, len(value)) + value
    if isinstance(value, (list, tuple)):
        return bytes([0x90 | len(value)]) + b"".join(map(pack, value))
    return bytes([0x80 | len(value)]) + b"".join(pack(part) for item in value.items() for part in item)


class IncompleteError(Exception):
    """More bytes are needed."""


NUMBERS = {0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q", 0xCA: ">f", 0xCB: ">d"}
LENGTHS = {0xC4: ">B", 0xC5: ">H", 0xC6: ">I", 0xD9: ">B", 0xDA: ">H", 0xDB: ">I", 0xDC: ">H", 0xDE: ">H"}
CONSTANTS = {0xC0: None, 0xC2: False, 0xC3: True}
TEXT, BINARY, ARRAY, MAP = "text", "binary", "array", "map"


class Unpacker:
    """Decodes values, as far as nodes send them."""

    def __init__(self, data: bytes, at: int) -> None:
        self.data, self.at = data, at

    def _take(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise IncompleteError
        self.at += size
        return self.data[self.at - size : self.at]

    def _number(self, layout: str) -> Any:
        return struct.unpack(layout, self._take(struct.calcsize(layout)))[0]

    def _sized(self, kind: str, size: int) -> Any:
        if kind == TEXT:
            return self._take(size).decode()
        if kind == BINARY:
            return self._take(size)
        values = [self.value() for _ in range(size * 2 if kind == MAP else size)]
        return dict(zip(values[::2], values[1::2], strict=True)) if kind == MAP else values

    def value(self) -> Any:
        """Decode the next value. Raises `IncompleteError`."""
        code = self._take(1)[0]
        if code < 0x80:
            return code
        if code < 0xC0:
            kind, mask = (TEXT, 31) if code >= 0xA0 else (ARRAY, 15) if code >= 0x90 else (MAP, 15)
            return self._sized(kind, code & mask)
        if code in CONSTANTS:
            return CONSTANTS[code]
        if code in NUMBERS:
            return self._number(NUMBERS[code])
        if code not in LENGTHS:
            raise ValueError(f"type byte {code:#x}")
        kinds = {0xDC: ARRAY, 0xDE: MAP, 0xC4: BINARY, 0xC5: BINARY, 0xC6: BINARY}
        return self._sized(kinds.get(code, TEXT), self._number(LENGTHS[code]))


def unpack(data: bytes, at: int = 0) -> tuple[Any, int]:
    """Decode one value; return it and where it ends. Raises `IncompleteError`."""
    unpacker = Unpacker(data, at)
    value = unpacker.value()
    return value, unpacker.at


class Case:
    """One play: its folder, record, settings and everything that it has to end."""

    def __init__(self, folder: Path) -> None:
        self.record_file = (folder / "record.txt").open("w")
        self.lock = threading.Lock()
        self.started_s = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.closers: list[Callable[[], object]] = []
        self.txn = 0
        self.seed = os.urandom(4).hex()

    def note(self, text: str) -> None:
        """Write a line to the record."""
        with self.lock, contextlib.suppress(ValueError):
            self.record_file.write(f"{time.monotonic() - self.started_s:9.4f} {text}\n")

    def new_txn(self) -> str:
        """Return a new id of a try."""
        with self.lock:
            self.txn += 1
            return f"{self.seed}{self.txn:08x}"

    def start(self, name: str, environment: dict[str, str]) -> subprocess.Popen[bytes]:
        """Start the program with the command of the deploy file; its log goes to the temporary folder."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        keep = {key: os.environ[key] for key in ("PATH", "LANG", "HOME") if key in os.environ}
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=keep | environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.processes.append(process)
        self.note(f"started {name}")
        return process

    def log_of(self, name: str) -> str:
        """Return what a process has logged."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """End all that was started."""
        for process in self.processes:
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for closer in self.closers:
            with contextlib.suppress(OSError):
                closer()
        for log in sorted(self.folder.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines()[-60:]:
                self.note(f"log of {log.stem}: {line[:300]}")
        self.temporary.cleanup()
        with self.lock:
            self.record_file.close()


def main(script: str, play: Callable[[Case], list[str]]) -> None:
    """Play a case and exit with the status of a script."""
    case = Case(Path(script).resolve().parent)
    case.note(f"TROUBLE={int(TROUBLE)}")
    watchdog = threading.Timer(MAX_PLAY_S, lambda: (case.close(), os._exit(2)))
    watchdog.daemon = True
    watchdog.start()
    status = 2
    try:
        violations = play(case)
        for violation in violations:
            case.note(f"VIOLATION {violation}")
        status = 1 if violations else 0
        print("\n".join(violations) or "the rule held")
    except CannotRunError as error:
        case.note(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception:
        case.note(traceback.format_exc())
        traceback.print_exc()
    finally:
        case.close()
    sys.stdout.flush()
    os._exit(status)


def free_port() -> int:
    """Return a port that is free now, below those that the kernel gives to outgoing connections."""
    for _ in range(500):
        port = 20000 + int.from_bytes(os.urandom(2)) % 10000
        with (
            contextlib.suppress(OSError),
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
            return port
    raise CannotRunError("no free port")


def wait_until(condition: Callable[[], object], timeout_s: float, what: str) -> None:
    """Wait for a condition; raise `CannotRunError` when the time is over."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise CannotRunError(f"not in time: {what}")
        time.sleep(0.02)


def serve(case: Case, handle: Callable[[socket.socket], object], port: int = 0) -> int:
    """Accept connections, each with a thread of its own; return the port."""
    listener = socket.create_server((HOST, port), backlog=512)
    case.closers.append(listener.close)

    def accept() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=handle, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return int(listener.getsockname()[1])


def settings(
    classes: list[dict[str, Any]], calls: list[bool], skips: list[float], **own: Any
) -> dict[str, Any]:
    """Return the settings of a small deployment; `own` replaces keys of the server."""
    return {
        "categories": classes,
        "family": "server",
        "family_info": {
            "below": "next_hop" if any(calls) else "silent",
            "blowup": 16.0,
            "caller_idle_us": 30_000_000,
            "class_calls": calls,
            "class_skip_worth": skips,
            "clients_total": 10,
            "cores": 6,
            "entry_kb": 43.55,
            "fresh_start": False,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "halt": "pause",
            "heard_for_us": 1_000_000,
            "ram_kb": 19926.0,
            "say": "tokens",
            **own,
        },
        "group_size": 10,
        "goal": {"whole": 0.65, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.15},
        "limits": {"max_retry_after_us": 1_000_000, "retry_after": True},
        "rules": {
            "answer_slack_us": 80_000,
            "cold_from": 0.31,
            "cold_us": 18_000_000,
            "drain_grace_us": 2_500_000,
            "fall_us": 2_000_000,
            "tip_multiple": 6.0,
        },
        "tenants": [],
        "tick_us": 5000,
    }


def category(
    name: str, effect: str, deadline_ms: int, aim_ms: int, worth: float = 1.0, window_ms: int = 0
) -> dict[str, Any]:
    """Return a class as the settings name it."""
    return {
        "name": name,
        "effect": effect,
        "deadline_us": deadline_ms * 1000,
        "objective_us": aim_ms * 1000,
        "worth": worth,
        "late_share": 0.0,
        "repeat_window_us": window_ms * 1000,
    }


class Node:
    """One process of the program on the platform."""

    def __init__(
        self,
        case: Case,
        name: str,
        node_settings: dict[str, Any],
        runtime_port: int,
        folder: Path | None = None,
        **config: Any,
    ) -> None:
        self.case, self.name = case, name
        self.folder = folder or case.folder / f"{name}.tmp"
        self.folder.mkdir(exist_ok=True)
        self.config = {
            "name": "n3",
            "listen": f"{HOST}:{free_port()}",
            "operator": f"{HOST}:{free_port()}",
            "runtime": f"{HOST}:{runtime_port}",
            "seed": case.seed + "5be964a1",
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": node_settings,
            **config,
        }
        self.path = case.folder / f"{name}.json"
        self.write()

    def write(self) -> None:
        """Write the file of the configuration, whole."""
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.rename(self.path)

    def start(self) -> "Node":
        """Start the process and wait until it says that it is ready."""
        self.process = self.case.start(
            self.name, {"PROXY_CONFIG": str(self.path), "TMPDIR": str(self.folder)}
        )
        wait_until(lambda: self.operator("GET", "/healthcheck")[0] == 200, 20, f"{self.name} is ready")
        self.case.note(f"{self.name} is ready")
        return self

    @property
    def port(self) -> int:
        """The port for callers."""
        return int(self.config["listen"].rpartition(":")[2])

    def operator(self, method: str, path: str) -> tuple[int, bytes]:
        """Call the second address; status 0 without an answer."""
        return http(int(self.config["operator"].rpartition(":")[2]), method, path, timeout_s=2.0)[:2]

    def resident_mb(self) -> float:
        """Return the memory of the process that is in use, 0 if it has ended."""
        try:
            return (
                int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
                * os.sysconf("SC_PAGE_SIZE")
                / (1 << 20)
            )
        except (OSError, IndexError):
            return 0.0


def http(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, bytes, dict[str, str]]:
    """Make one HTTP call; return status, body and headers. Status 0: no whole answer came."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    try:
        with socket.create_connection((HOST, port), timeout_s) as sock:
            sock.settimeout(timeout_s)
            sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            received = b""
            while part := sock.recv(65536):
                received += part
    except OSError:
        received = b""
    head, separator, rest = received.partition(b"\r\n\r\n")
    if not separator:
        return 0, b"", {}
    first, *others = head.decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in others)}
    return int(first.split(" ")[1]), rest[: int(fields.get("content-length", len(rest)))], fields


class Try:
    """One try of a request, as its caller sees it."""

    def __init__(self, txn: str, method: str, key: str, body: bytes) -> None:
        self.txn, self.method, self.key, self.body = txn, method, key, body
        self.written_s = time.monotonic()
        self.door_ms = time.time_ns() // 1_000_000
        self.answers: list[tuple[float, str, bytes]] = []  # seconds since it was written, verdict, result
        self.reset = False  # its connection ended with no whole answer

    @property
    def verdict(self) -> str:
        """The final answer: served, Full or another error; "" while there is none."""
        return self.answers[0][1] if self.answers else ""


class Caller:
    """One connection of a caller."""

    def __init__(self, case: Case, port: int, number: int = 1) -> None:
        self.case, self.number = case, number
        self.sock = socket.create_connection((HOST, port), 5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(None)
        self.lock = threading.Lock()
        self.message_id = 0
        self.open: dict[int, Try] = {}
        self.last_call = self.closed = False
        threading.Thread(target=self._read, daemon=True).start()

    def send(
        self, method: str, body: bytes, key: str = "", ram: str = "24.5", cpu: str = "12.50", txn: str = ""
    ) -> Try:
        """Write a try. Raises OSError."""
        attempt = Try(txn or self.case.new_txn(), method, key, body)
        fields = {
            "txn": attempt.txn,
            "door": str(attempt.door_ms),
            "lb": str(self.number),
            "cpu": cpu,
            "ram": ram,
            "standing": "0.6250",
        }
        if key:
            fields["unique"] = key
        with self.lock:
            self.message_id += 1
            self.open[self.message_id] = attempt
            attempt.written_s = time.monotonic()
            self.case.note(f"sent {method} {attempt.txn} key={key or '-'}")
            self.sock.sendall(pack([0, self.message_id, method, [fields, body]]))
        return attempt

    def health(self) -> None:
        """Write a health check."""
        with self.lock:
            self.message_id += 1
            self.sock.sendall(pack([0, self.message_id, "health", [{}]]))

    def _read(self) -> None:
        buffer = b""
        with contextlib.suppress(OSError):
            while data := self.sock.recv(65536):
                buffer += data
                at = 0
                while True:
                    try:
                        message, at = unpack(buffer, at)
                    except (IncompleteError, IndexError):
                        break
                    self._on_message(message)
                buffer = buffer[at:]
        with self.lock:
            self.closed = True
            for attempt in self.open.values():
                if not attempt.answers:
                    attempt.reset = True
                    self.case.note(f"connection ended under {attempt.txn}")

    def _on_message(self, message: Any) -> None:
        if message[0] == 2:
            self.last_call = self.last_call or message[1] == "lastCall"
            return
        _, number, error, result = message
        attempt = self.open.get(number)
        if attempt is None:
            return
        verdict = "served" if error is None else str(error[0])
        took_s = time.monotonic() - attempt.written_s
        attempt.answers.append((took_s, verdict, result[0] if error is None else b""))
        self.case.note(f"answer {attempt.txn} {verdict} after {took_s:.3f} s")

    def close(self) -> None:
        """Close the connection in order."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def result_of(body: bytes) -> bytes:
    """Return the result that the runtime makes for a body."""
    return b"result of " + body


class Run:
    """A run of the runtime."""

    def __init__(self, call: str, service: str, body: bytes, part_s: float, calls: int) -> None:
        self.part_s = part_s  # how long each of its parts takes
        self.call, self.service, self.body = call, service, body
        self.calls_left, self.call_number = calls, 0
        self.started_s = time.monotonic()
        self.waits = False  # it stands at a call
        self.serial = 0  # of the notice that asked for that call
        self.over = False


class Runtime:
    """The runtime, for the runs begun through one address.

    `plan(service, body)` returns how long each part of a run takes, in seconds, and its number of calls.
    """

    def __init__(
        self, case: Case, plan: Callable[[str, bytes], tuple[float, int]], name: str = "runtime"
    ) -> None:
        self.case, self.plan, self.name = case, plan, name
        self.lock = threading.RLock()
        self.ready = threading.Event()
        self.ready.set()
        self.begun_s = time.monotonic()
        self.serial = 0
        self.notices: list[tuple[int, bytes]] = []
        self.link: socket.socket | None = None
        self.runs: dict[str, Run] = {}
        self.history: list[Run] = []
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timer_count = 0
        self.gauges: Callable[[], list[float]] = lambda: [0.3, float(self.on_cores()), 0.1, 3.0]
        self.on_start: Callable[[Run], None] = lambda run: None
        self.on_reply: Callable[[Run, bytes], None] = lambda run, reply: None
        threading.Thread(target=self._tick, daemon=True).start()
        self.port = serve(case, self._link)

    def on_cores(self) -> int:
        """Return how many runs are on the cores."""
        with self.lock:
            return sum(not run.over and not run.waits for run in self.runs.values())

    def _later(self, delay_s: float, act: Callable[[], None]) -> None:
        with self.lock:
            self.timer_count += 1
            heapq.heappush(self.timers, (time.monotonic() + delay_s, self.timer_count, act))

    def _tick(self) -> None:
        while True:
            time.sleep(0.001)
            with self.lock:
                while self.timers and self.timers[0][0] <= time.monotonic():
                    heapq.heappop(self.timers)[2]()

    def _write(self, sock: socket.socket | None, message: dict[str, Any]) -> None:
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.sendall(json.dumps(message).encode() + b"\n")

    def notice(self, message: dict[str, Any]) -> int:
        """Number a notice, keep it, and send it if a link is up."""
        with self.lock:
            self.serial += 1
            message = {**message, "serial": self.serial}
            self.notices = [*self.notices[-3999:], (self.serial, json.dumps(message).encode() + b"\n")]
            self._write(self.link, message)
            return self.serial

    def _link(self, sock: socket.socket) -> None:
        buffer = b""
        with contextlib.suppress(OSError):
            while data := sock.recv(65536):
                buffer += data
                *lines, buffer = buffer.split(b"\n")
                for line in lines:
                    if line.strip() and not self._command(sock, json.loads(line)):
                        sock.close()
                        return
        with self.lock:
            if self.link is sock:
                self.link = None

    def _command(self, sock: socket.socket, message: dict[str, Any]) -> bool:
        name, call = message["msg"], message.get("call", "")
        if name == "sync":
            self._sync(sock, message["serial"])
            return True
        with self.lock:
            if name == "gauges":
                load = {"msg": "load", "cookie": message["cookie"], "stats": self.gauges()}
                self._write(sock, load)
                return True
            run = self.runs.get(call)
            if name == "start":
                self._start(call, message["service"], base64.b64decode(message["blob"]), run)
            elif run is None:
                self._write(sock, {"msg": "nack", "how": name, "call": call})
            else:
                self._command_to(run, message)
        return True

    def _sync(self, sock: socket.socket, serial: int) -> None:
        """Make this link the one in use, and send the notices that it lacks."""
        self.ready.wait()
        with self.lock:
            old, self.link = self.link, sock
            if old is not None and old is not sock:
                with contextlib.suppress(OSError):
                    old.shutdown(socket.SHUT_RDWR)
            duration_ms = (time.monotonic() - self.begun_s) * 1000
            self._write(sock, {"msg": "ready", "how": "warm", "duration": duration_ms})
            for number, line in self.notices:
                if number > serial:
                    with contextlib.suppress(OSError):
                        sock.sendall(line)

    def _command_to(self, run: Run, message: dict[str, Any]) -> None:
        """Carry out a command for a run that was begun; it means nothing where the run has gone on."""
        name = message["msg"]
        if name == "give" and run.waits:
            reply = base64.b64decode(message["blob"])
            self.case.note(f"{self.name} got give {run.call} for call {run.call_number}")
            run.waits = False
            self.on_reply(run, reply)
            self._part(run)
        elif name == "omit" and run.waits and message["serial"] == run.serial:
            self.case.note(f"{self.name} got omit {run.call}")
            run.waits = False
            self._part(run)
        elif name == "stop" and not run.over and not run.waits:
            run.over = True
            self.case.note(f"{self.name} stopped {run.call}")
            self.notice({"msg": "end", "call": run.call, "how": "halted", "duration": 1.0})

    def _start(self, call: str, service: str, body: bytes, run: Run | None) -> None:
        if run is not None:  # it runs already, or its request is over
            self.case.note(f"{self.name} got start {call} again")
            return
        part_s, calls = self.plan(service, body)
        run = self.runs[call] = Run(call, service, body, part_s, calls)
        self.history.append(run)
        self.case.note(f"{self.name} runs {call} {service} {body[:40]!r}")
        self.on_start(run)
        self._part(run)

    def _part(self, run: Run) -> None:
        self._later(run.part_s, lambda: self._part_done(run))

    def _part_done(self, run: Run) -> None:
        if run.over:
            return
        if run.calls_left:
            run.calls_left -= 1
            run.call_number += 1
            run.waits = True
            blob = base64.b64encode(call_body(run.call, run.call_number)).decode()
            run.serial = self.notice({"msg": "wants", "call": run.call, "blob": blob})
            self.case.note(f"{self.name} wants {run.call} call {run.call_number}")
            return
        run.over = True
        self.case.note(f"{self.name} ended {run.call}")
        blob = base64.b64encode(result_of(run.body)).decode()
        self.notice(
            {
                "msg": "end",
                "call": run.call,
                "how": "ok",
                "duration": (time.monotonic() - run.started_s) * 1000,
                "blob": blob,
            }
        )


def call_body(call: str, number: int) -> bytes:
    """Return the body of a call of a run."""
    return f"call {number} of {call}".encode()


def reply_to(body: bytes) -> bytes:
    """Return the vault's reply to a call."""
    return b"reply to " + body


class Vault:
    """The vault: answers each call `yes` after `delay(body)` seconds."""

    def __init__(self, case: Case, delay: Callable[[bytes], float]) -> None:
        self.case, self.delay = case, delay
        self.asked: list[tuple[float, str, bytes]] = []
        self.port = serve(case, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        lock, buffer, cancelled = threading.Lock(), b"", set()

        def answer(call: str, body: bytes, number: int) -> None:
            with lock, contextlib.suppress(OSError):
                if number not in cancelled:
                    reply = reply_to(body)
                    sock.sendall(f"{call} yes {len(reply)}\r\n".encode() + reply + b"\r\n")

        latest: dict[str, int] = {}
        with contextlib.suppress(OSError):
            while data := sock.recv(65536):
                buffer += data
                while b"\r\n" in buffer:
                    head, _, rest = buffer.partition(b"\r\n")
                    words = head.decode().split(" ")
                    if words[0] == "unask":
                        buffer = rest
                        with lock:
                            cancelled.add(latest.get(words[1], -1))
                        continue
                    size = int(words[3])
                    if len(rest) < size + 2:
                        break
                    body, buffer = rest[:size], rest[size + 2 :]
                    self.asked.append((time.monotonic(), words[1], body))
                    self.case.note(f"vault was asked {body.decode()}")
                    latest[words[1]] = len(self.asked)
                    timer = threading.Timer(self.delay(body), answer, (words[1], body, len(self.asked)))
                    timer.daemon = True
                    timer.start()
        sock.close()


class Relay:
    """A way between two parties that the case can break."""

    def __init__(self, case: Case, port: int) -> None:
        self.target = port
        self.pairs: list[tuple[socket.socket, socket.socket]] = []
        self.port = serve(case, self._serve)

    def _serve(self, sock: socket.socket) -> None:
        try:
            other = socket.create_connection((HOST, self.target), 2)
        except OSError:
            sock.close()
            return
        other.settimeout(None)
        other.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.pairs.append((sock, other))
        threading.Thread(target=self._copy, args=(other, sock), daemon=True).start()
        self._copy(sock, other)

    @staticmethod
    def _copy(source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                target.sendall(data)
        for sock in (source, target):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def break_all(self) -> None:
        """End all connections; what was written to them before still arrives."""
        pairs, self.pairs = self.pairs, []
        for pair in pairs:
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


class Hosted:
    """One process of the program as a hosted service; in a fleet with `control` where that is given."""

    TOKEN = "token-of-the-second-review"

    def __init__(self, case: Case, name: str, text: str = "", fleet: str = "") -> None:
        self.case, self.name = case, name
        self.admin_port, self.ajp_port = free_port(), free_port()
        self.path = case.folder / f"{name}.toml"
        self.folder = case.folder / f"{name}.tmp"
        self.folder.mkdir(exist_ok=True)
        self.text, self.fleet = text, fleet

    def write(self) -> None:
        """Write the operator's file."""
        self.path.write_text(
            f"""
[node]
name = "{self.name}"
stop_ms = 3000
[ajp]
listen = "{HOST}:{self.ajp_port}"
[admin]
listen = "{HOST}:{self.admin_port}"
token = "{self.TOKEN}"
"""
            + self.fleet
            + self.text
        )

    def start(self) -> "Hosted":
        """Start the process and wait until its administration API answers."""
        self.write()
        self.process = self.case.start(
            self.name, {"REELUSHER_OPERATOR": str(self.path), "TMPDIR": str(self.folder)}
        )
        wait_until(lambda: self.call("GET", "/v1/status")[0] == 200, 20, f"{self.name} answers")
        return self

    def call(
        self, method: str, path: str, body: Any = None, timeout_s: float = 10.0, **headers: str
    ) -> tuple[int, Any, dict[str, str]]:
        """Call the administration API; status 0 without an answer."""
        fields = {"Authorization": f"Bearer {self.TOKEN}"} | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        status, data, received = http(self.admin_port, method, path, body, fields, timeout_s)
        try:
            value = json.loads(data) if data else None
        except ValueError:
            value = None
        if method != "GET" or status not in (200, 0):
            said = f"{status} {received.get('etag', '')} {data[:200]!r}"
            self.case.note(f"{self.name}: {method} {path} {body or ''} -> {said}")
        return status, value, received
