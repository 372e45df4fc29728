"""An operator's file of any size, and a process of a hosted node that runs with it."""

import contextlib
import os
import signal
import subprocess
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import tomli_w

from reelusher.codecs import ajp13, http1
from reelusher.config.load import Config, merge
from reelusher.config.operator.file import parse
from reelusher.lab.capacity.budgets import expected
from reelusher.lab.fleet.processes import deploy_command
from reelusher.net.sockets import connect

TOKEN = "a-token-of-the-scale-tests"
READY_TIMEOUT_S = 300.0
POLL_INTERVAL_S = 0.01
CLOCK_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
Address = tuple[str, int]
TENANTS_PER_ROUTE = expected("tenants") / expected("routes")


def tenant(number: int, backend: str = "worker-0") -> dict[str, Any]:
    """Return a tenant as in an operator's file; each has its own host, and about one in six a route."""
    fields: dict[str, Any] = {
        "name": f"tenant-{number}",
        "backend": backend,
        "hosts": [f"tenant-{number}.example"],
        "default_class": "day-view",
    }
    if int(number / TENANTS_PER_ROUTE) != int((number - 1) / TENANTS_PER_ROUTE):
        fields["routes"] = [{"method": "POST", "path": "/visits", "class": "book-visit"}]
    return fields


def operator_file(
    tenants: int, workers: list[Address], sockets: int = 4096, connections: int = 16
) -> dict[str, Any]:
    """Return an operator's file with a number of tenants and these workers; the ports are free ones."""
    return {
        "node": {"name": "hosted-1", "sockets": sockets, "memory_mb": 192},
        "ajp": {"listen": "127.0.0.1:0", "max_connections": min(10_000, sockets)},
        "admin": {"listen": "127.0.0.1:0", "token": TOKEN},
        "capacity": {"cores": 8, "memory_kb": 65_536},
        "classes": [
            {"name": "day-view", "deadline_ms": 5100, "aim_ms": 1500},
            {"name": "book-visit", "effect": "keyed", "window_ms": 22_971, "deadline_ms": 7700},
        ],
        "workers": [
            {"name": f"worker-{number}", "host": host, "port": port, "connections": connections}
            for number, (host, port) in enumerate(workers)
        ],
        "tenants": [tenant(number, f"worker-{number % len(workers)}") for number in range(tenants)],
    }


def config(tenants: int, workers: int = 1, **options: Any) -> Config:
    """Return the checked configuration of a node with these numbers of tenants and workers.

    `options` are further arguments of `operator_file`.
    """
    return merge(None, parse(operator_file(tenants, [("127.0.0.1", 1)] * workers, **options)))


def status_of(pid: int) -> dict[str, int]:
    """Return the resident bytes, threads and open descriptors of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return {
        "resident": int(fields["VmRSS"].split()[0]) * 1024,
        "threads": int(fields["Threads"]),
        "descriptors": len(os.listdir(f"/proc/{pid}/fd")),
    }


def processor_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * CLOCK_TICK_S


@dataclass(slots=True)
class HostedNode:
    """A running node process and its addresses."""

    process: subprocess.Popen[bytes]
    ajp: Address
    admin: Address
    ready_s: float  # from its start until its AJP front end answered

    def call(self, method: str, path: str, body: bytes = b"") -> http1.Message:
        """Call the administration API. Raises ConnectionError if no answer comes."""
        with connect(self.admin, 10.0) as sock:
            sock.settimeout(30.0)
            sock.sendall(http1.request(method, path, body, {"Authorization": f"Bearer {TOKEN}"}))
            decoder = http1.Decoder()
            while data := sock.recv(1 << 16):
                for message in decoder.feed(data):
                    return message
        raise ConnectionError("closed without an answer")


def _addresses(log: Path) -> dict[str, Address]:
    """Return the addresses that a node's log names, `ajp` and `admin`, so far as it has started to listen."""
    addresses = {}
    for line in log.read_text(errors="replace").splitlines():
        for message, key in (
            ("the ajp frontend listens on ", "ajp"),
            ("the administration API listens on ", "admin"),
        ):
            if message in line:
                host, _, port = line.rpartition(message)[2].strip().rpartition(":")
                addresses[key] = host, int(port)
    return addresses


def _answers_cping(address: Address) -> bool:
    """Tell whether an AJP front end answers a CPing."""
    try:
        with connect(address, 1.0) as sock:
            sock.settimeout(5.0)
            sock.sendall(ajp13.packet(ajp13.TO_CONTAINER, bytes([ajp13.CPING])))
            return bool(sock.recv(16))
    except OSError:
        return False


@contextlib.contextmanager
def hosted_node(file: dict[str, Any], folder: Path) -> Iterator[HostedNode]:
    """Run a node with an operator's file. Leaving the block stops it, with SIGKILL if SIGTERM takes too long.

    Raises RuntimeError if the node exits or is not ready in time.
    """
    path, log = folder / "operator.toml", folder / "node.log"
    path.write_text(tomli_w.dumps(file))
    began = time.monotonic()
    environ = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
    with log.open("wb") as out:
        process = subprocess.Popen(
            deploy_command("run"),
            env={**environ, "REELUSHER_OPERATOR": str(path)},
            cwd=Path(__file__).parents[3],
            stderr=out,
            stdout=out,
        )
    try:
        addresses: dict[str, Address] = {}
        while len(addresses) < 2 or not _answers_cping(addresses["ajp"]):
            if process.poll() is not None or time.monotonic() - began > READY_TIMEOUT_S:
                raise RuntimeError(f"the node is not ready: {log.read_text(errors='replace')[-500:]}")
            time.sleep(POLL_INTERVAL_S)
            addresses = _addresses(log)
        yield HostedNode(process, addresses["ajp"], addresses["admin"], time.monotonic() - began)
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(15.0)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
