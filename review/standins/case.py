"""What each case shares: the record, free ports, node processes, and the exit status."""

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 110  # a case ends itself before its limit of 120 s
# run.sh turns these into 0, 1 and 2; any other status, such as the 1 of an exception, is 2 there
HELD, BROKEN, COULD_NOT_RUN = 20, 21, 22
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOOPBACK = "127.0.0.1"


class CouldNotRunError(Exception):
    """The case did not come to its check; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
            self._file.flush()


class NodeProcess:
    """One node, started with the command `run` of the deploy file."""

    def __init__(self, name: str, environment: dict[str, str], folder: Path, record: Record) -> None:
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        inherited = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG", "LC_ALL") or key.startswith("PYTHONDONTWRITE")
        }
        self.name, self._record = name, record
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**inherited, **environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        record(f"{name}: started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node's process."""
        self._record(f"{self.name}: {number.name}")
        self._process.send_signal(number)

    def alive(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def wait(self, timeout_s: float) -> int:
        """Wait for the end of the process and return its status."""
        try:
            status = self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise CouldNotRunError(f"{self.name} has not ended within {timeout_s} s") from None
        self._record(f"{self.name}: ended with {status}")
        return status

    def kill(self) -> None:
        """Kill the process if it has not ended, and wait for its end."""
        if self.alive():
            self.signal(signal.SIGKILL)
        self._process.wait()

    def log(self) -> str:
        """Return the log of the node."""
        return self.log_path.read_text(errors="replace")


class Case:
    """The folder, the processes and the record of one run of a case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes: list[NodeProcess] = []
        self._ports: set[int] = set()

    def address(self) -> tuple[str, int]:
        """Return a free loopback address, below the ports that the kernel gives to outgoing connections."""
        first = 20_000 + os.getpid() * 37 % 9_000
        for port in [*range(first, 30_000), *range(20_000, first)]:
            if port in self._ports:
                continue
            with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    tcp.bind((LOOPBACK, port))
                    udp.bind((LOOPBACK, port))
                except OSError:
                    continue
            self._ports.add(port)
            return LOOPBACK, port
        raise CouldNotRunError("no free port")

    def start_node(self, name: str, environment: dict[str, str]) -> NodeProcess:
        """Start a node; it is killed at the end of the case."""
        node = NodeProcess(name, environment, self.folder, self.record)
        self.nodes.append(node)
        return node

    def close(self) -> None:
        """End all processes, and put their logs behind the record."""
        for node in self.nodes:
            node.kill()
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                self.record(f"log of {path.stem}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def text(address: tuple[str, int]) -> str:
    """Return an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def wait_until(
    what: str, condition: Callable[[], object], timeout_s: float = 20.0, interval_s: float = 0.02
) -> None:
    """Wait until a condition holds; raise `CouldNotRunError` if it does not in time."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise CouldNotRunError(f"not within {timeout_s:g} s: {what}")
        time.sleep(interval_s)


def run(folder: Path, play: Callable[[Case], str]) -> None:
    """Play a case and exit; `play` returns how the rule was broken, or "" if it held."""

    def out_of_time(*_: object) -> None:
        raise CouldNotRunError("the time of the case is over")

    signal.signal(signal.SIGALRM, out_of_time)
    signal.signal(signal.SIGTERM, out_of_time)
    signal.alarm(LIMIT_S)
    case, status = Case(folder), COULD_NOT_RUN
    case.record(f"TROUBLE={int(TROUBLE)}")
    try:
        broken = play(case)
        status = BROKEN if broken else HELD
        verdict = f"BROKEN: {broken}" if broken else "HELD"
    except CouldNotRunError as error:
        verdict = f"COULD NOT RUN: {error}"
    except Exception:
        verdict = f"COULD NOT RUN: {traceback.format_exc()}"
    finally:
        signal.alarm(0)
        case.close()
    case.record(verdict)
    print(verdict, file=sys.stderr)
    sys.stdout.flush()
    os._exit(status)
