"""Stand-ins of the platform: runtime, catalog, caller, and an operator."""

import base64
import http.client
import json
import socket
import threading
import time
from typing import Any

from reelusher.codecs import msgpack
from standins.case import LOOPBACK, CouldNotRunError, Record


class Runtime:
    """Runs each request for a fixed time, then ends it `ok` with a result of its own.

    Notices are numbered from 1 and kept. `sync` is answered by `ready` and all notices after the number that
    it names. A new link replaces the one before it. A run that is started again while it runs is not started.
    """

    def __init__(self, name: str, record: Record, run_s: float = 0.05) -> None:
        self._name, self._record, self._run_s = name, record, run_s
        self._lock = threading.Lock()
        self._link: socket.socket | None = None
        self._notices: list[bytes] = []
        self._running: set[str] = set()
        self._started_s = time.monotonic()
        self.runs: list[tuple[str, str, bytes]] = []  # run id, class and body of each run, in order
        self._listener = socket.create_server((LOOPBACK, 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            link, _ = self._listener.accept()
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        try:
            for line in link.makefile("rb"):
                self._on_command(link, json.loads(line))
        except (OSError, ValueError):
            pass
        link.close()

    def _on_command(self, link: socket.socket, command: dict[str, Any]) -> None:
        match command["msg"]:
            case "sync":
                up_ms = int((time.monotonic() - self._started_s) * 1000)
                with self._lock:
                    self._link = link
                    self._send({"msg": "ready", "how": "warm", "duration": up_ms})
                    for notice in self._notices[command["serial"] :]:
                        link.sendall(notice)
            case "gauges":
                with self._lock:
                    stats = [min(1.0, len(self._running) / 2), float(len(self._running)), 0.1, 4.0]
                    self._send({"msg": "load", "cookie": command["cookie"], "stats": stats})
            case "start":
                self._start(command["call"], command["service"], base64.b64decode(command["blob"]))

    def _start(self, run_id: str, service: str, body: bytes) -> None:
        with self._lock:
            if run_id in self._running:
                return
            self._running.add(run_id)
            self.runs.append((run_id, service, body))
        self._record(f"{self._name}: run of {run_id}, class {service}, body {body!r}")
        threading.Timer(self._run_s, self._end, (run_id, body)).start()

    def _end(self, run_id: str, body: bytes) -> None:
        result = base64.b64encode(b"done by " + self._name.encode() + b": " + body).decode()
        with self._lock:
            self._running.discard(run_id)
            notice = {
                "msg": "end",
                "serial": len(self._notices) + 1,
                "call": run_id,
                "how": "ok",
                "duration": self._run_s * 1000,
                "blob": result,
            }
            self._notices.append(json.dumps(notice).encode() + b"\n")
            self._send(notice)

    def _send(self, message: dict[str, Any]) -> None:
        if self._link is not None:
            try:
                self._link.sendall(json.dumps(message).encode() + b"\n")
            except OSError:
                self._link = None


class Catalog:
    """Answers each report with 204."""

    def __init__(self) -> None:
        self._listener = socket.create_server((LOOPBACK, 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    @staticmethod
    def _serve(sock: socket.socket) -> None:
        stream = sock.makefile("rb")
        try:
            while stream.readline():
                size = 0
                while (line := stream.readline().strip()) != b"":
                    name, _, value = line.partition(b":")
                    if name.lower() == b"content-length":
                        size = int(value)
                stream.read(size)
                sock.sendall(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
        except (OSError, ValueError):
            pass
        sock.close()


class Caller:
    """A caller of the platform: one request on a connection, and its answer."""

    def __init__(self, number: int, record: Record) -> None:
        self._number, self._record, self._sent = number, record, 0

    def request(self, address: tuple[str, int], method: str, key: str, body: bytes) -> tuple[str, bytes]:
        """Send a keyed request on a new connection; return `served` or the error, and the result."""
        self._sent += 1
        run_id = f"{self._number:08x}{self._sent:08x}"
        fields = {
            "txn": run_id,
            "door": str(time.time_ns() // 1_000_000),
            "lb": str(self._number),
            "cpu": "50.00",
            "ram": "20.0",
            "standing": "0.5000",
            "unique": key,
        }
        self._record(f"caller: sends {run_id}, {method}, unique {key}, door {fields['door']}")
        with socket.create_connection(address, 5) as sock:
            sock.settimeout(15)
            sock.sendall(msgpack.pack([0, 1, method, [fields, body]]))
            decoder = msgpack.Decoder()
            while data := sock.recv(1 << 14):
                for message in decoder.feed(data):
                    if message[0] == 1 and message[1] == 1:
                        verdict = "served" if message[2] is None else str(message[2][0])
                        result = message[3][0] if message[2] is None else b""
                        self._record(f"caller: {run_id} answered {verdict} {result!r}")
                        return verdict, result
        raise CouldNotRunError(f"{run_id} got no answer")


def operator_call(address: tuple[str, int], method: str, path: str) -> tuple[int, dict[str, Any]]:
    """Make a call on the second address; status 0 where nobody listens."""
    connection = http.client.HTTPConnection(*address, timeout=5)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()
