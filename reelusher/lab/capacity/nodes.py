"""Real processes of the program with a replicated table of tenants; each is ended by its id."""

import contextlib
import os
import shutil
import signal
import subprocess
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import tomli_w

from reelusher.config.checked_table import Address
from reelusher.lab.fleet.census import RIG_ADMIN_TOKEN
from reelusher.lab.fleet.processes import ROOT, deploy_command

FAULTS = ("Traceback", " ERROR ")  # words in a node's log that spoil a run
STOP_MS = 4000
CLASS = "look"


@dataclass(slots=True, frozen=True)
class NodeAddresses:
    """Where a node listens, and where others reach it."""

    ajp: Address
    admin: Address
    fleet: Address
    advertise: Address
    zone: str


class NodeProcesses:
    """All processes of a run. Leaving the block ends every one of them."""

    def __init__(self, folder: Path, workers: dict[str, Address]) -> None:
        self.folder, self.workers = folder, workers
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.secret = folder / "secret"
        self.secret.write_text("the secret of this rig's fleet")

    def __enter__(self) -> "NodeProcesses":
        return self

    def __exit__(self, *fault: object) -> None:
        for process in self.running.values():
            with contextlib.suppress(OSError):
                process.kill()  # also where it is stopped
        for process in self.running.values():
            process.wait()

    def configure(self, name: str, places: NodeAddresses, seeds: list[Address], control: list[str]) -> None:
        """Write a node's operator's file; without `control` it has tenants of its own, in a journal."""
        at = "{}:{}".format
        admin: dict[str, Any] = {"listen": at(*places.admin), "token": RIG_ADMIN_TOKEN}
        told: dict[str, Any] = {
            "node": {"name": name, "stop_ms": STOP_MS},
            "ajp": {"listen": at(*places.ajp)},
            "admin": admin,
            "classes": [{"name": CLASS, "deadline_ms": 5000, "aim_ms": 1000}],
            "capacity": {"cores": 8},
            "workers": [
                {"name": worker, "host": place[0], "port": place[1], "connections": 64}
                for worker, place in self.workers.items()
            ],
        }
        if control:
            told["fleet"] = {
                "listen": at(*places.fleet),
                "advertise": at(*places.advertise),
                "zone": places.zone,
                "seeds": [at(*seed) for seed in seeds],
                "secret_file": str(self.secret),
            }
            told["replication"] = {"copy": str(self.replica_path(name)), "control": control}
        else:
            admin["state_dir"] = str(self.folder / f"{name}.state")
        self.file(name).write_text(tomli_w.dumps(told))

    def file(self, name: str) -> Path:
        """Return where a node's operator's file is."""
        return self.folder / f"{name}.toml"

    def replica_path(self, name: str) -> Path:
        """Return where a node keeps its copy."""
        return self.folder / f"{name}.db"

    def lose_copy(self, name: str) -> None:
        """Remove the copy of a node that does not run: its machine is replaced by a fresh one."""
        for path in self.folder.glob(f"{name}.db*"):
            shutil.rmtree(path) if path.is_dir() else path.unlink()

    def start(self, name: str) -> None:
        """Start a node; its log goes on in the same file."""
        environ = {key: value for key, value in os.environ.items() if key != "PROXY_CONFIG"}
        with self.log_file(name).open("ab") as log:
            self.running[name] = subprocess.Popen(
                deploy_command("run"),
                cwd=ROOT,
                env={**environ, "REELUSHER_OPERATOR": str(self.file(name))},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node that runs."""
        if self.alive(name):
            self.running[name].send_signal(number)

    def alive(self, name: str) -> bool:
        """Tell whether a node's process is there."""
        process = self.running.get(name)
        return process is not None and process.poll() is None

    def log_file(self, name: str) -> Path:
        """Return where a node's log is."""
        return self.folder / f"{name}.log"

    def error_lines(self, name: str) -> list[str]:
        """Return the lines of a node's log that tell of an error."""
        lines = self.log_file(name).read_text(errors="replace").splitlines()
        return [line for line in lines if any(word in line for word in FAULTS)]

    def processor_s(self, name: str) -> float:
        """Return the processor time that a node's process has taken."""
        fields = Path(f"/proc/{self.running[name].pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_kb(self, name: str) -> int:
        """Return the resident memory of a node's process."""
        status = Path(f"/proc/{self.running[name].pid}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
