"""Two real processes, one of which takes over from the other."""

import json
import os
import socket
import subprocess
import threading
from pathlib import Path
from typing import Any

import parties
from helpers import free_address, wait_until
from scenario import SETTINGS
from test_parts import ROOT, deploy_file_command

from reelusher.codecs import http1, msgpack


class Process:
    """A process of the node, with a fake runtime that ends every run at once."""

    def __init__(self, folder: Path, number: int, listen: str, registry: str) -> None:
        self.runtime = parties.Runtime({})
        self.runtime.ends_runs_at_once = True
        self.operator = free_address()
        path = folder / f"p{number}.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n3",
                    "listen": listen,
                    "seed": f"{number:x}",
                    "stop_ms": 4000,
                    "directory": registry,
                    "runtime": "{}:{}".format(*self.runtime.address),
                    "operator": "{}:{}".format(*self.operator),
                    "limits": {"sockets": 256},
                    "settings": SETTINGS,
                }
            )
        )
        self.process = subprocess.Popen(
            deploy_file_command("run"),
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "PROXY_CONFIG": str(path), "TMPDIR": str(folder)},
        )

    def ready(self) -> bool:
        """Return whether the health check of the process succeeds."""
        try:
            with socket.create_connection(self.operator, 2) as sock:
                sock.settimeout(5)
                sock.sendall(http1.request("GET", "/healthcheck"))
                return sock.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


def test_callers_lose_nothing_while_one_process_takes_over(tmp_path: Path) -> None:
    port = free_address()[1]
    registry = parties.CatalogParty({})
    old = Process(tmp_path, 1, f"127.0.0.1:{port}", "{}:{}".format(*registry.address))
    new: Process | None = None
    lost_requests: list[str]
    answered: list[int]
    stop, lost_requests, answered = threading.Event(), [], []

    def call(caller: int) -> None:
        """Send one request after the other; reconnect after every third one and after a last call.

        By a last call, the node asks a caller to send nothing more on a connection.
        """
        number, sock, decoder = 0, None, msgpack.Decoder(1 << 14)
        while not stop.is_set():
            number += 1
            try:
                if sock is None:
                    sock, decoder = socket.create_connection(("127.0.0.1", port), 5), msgpack.Decoder(1 << 14)
                    sock.settimeout(10)
                fields = {"txn": f"{caller:08x}{number:08x}", "lb": str(caller), "ram": "10", "cpu": "1"}
                sock.sendall(msgpack.pack([0, number, "slot-search", [fields, b"x"]]))
                messages: list[Any] = []
                while not any(message[0] == 1 for message in messages):
                    data = sock.recv(1 << 12)
                    if not data:
                        raise OSError("closed")
                    messages += decoder.feed(data)
                got_last_call = any(message[0] == 2 for message in messages)
                answered.append(caller)
                if got_last_call or number % 3 == 0:
                    sock.close()
                    sock = None
            except OSError as error:
                lost_requests.append(f"{caller} {number}: {error!r}")
                sock = None

    threads = [threading.Thread(target=call, args=(caller,), daemon=True) for caller in range(1, 5)]
    try:
        assert wait_until(old.ready)
        for thread in threads:
            thread.start()
        assert wait_until(lambda: len(answered) > 50)
        new = Process(tmp_path, 2, f"127.0.0.1:{port}", "{}:{}".format(*registry.address))
        assert wait_until(new.ready)
        old.process.terminate()
        assert old.process.wait(10) == 0
        answered_before = len(answered)
        assert wait_until(lambda: len(answered) > answered_before + 50)
        stop.set()
        for thread in threads:
            thread.join(10)
        # a request may be in flight when its connection is closed, or arrive as the listener is closed
        assert len(lost_requests) <= 2, lost_requests
        new.process.terminate()
        assert new.process.wait(10) == 0
    finally:
        stop.set()
        for node_process in (old, new):
            if node_process is not None:
                node_process.process.kill()
                node_process.process.wait()
                node_process.runtime.close(["listener"])
        registry.close(["listener"])
