"""Runs nodes as real processes, with a replicated table of tenants; each process is ended by its id."""

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

ERROR_MARKERS = ("Traceback", " ERROR ")  # texts in a node's log that make a run fail
STOP_MS = 4000
CLASS = "look"


@dataclass(slots=True, frozen=True)
class NodeAddresses:
    """The addresses that a node listens on, the one at which other members reach it, and its zone."""

    ajp: Address
    admin: Address
    fleet: Address
    advertise: Address
    zone: str


class NodeProcesses:
    """All node processes of a run. Leaving the block kills each of them."""

    def __init__(self, folder: Path, workers: dict[str, Address]) -> None:
        self.folder, self.workers = folder, workers
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.secret = folder / "secret"
        self.secret.write_text("the secret of this rig's fleet")

    def __enter__(self) -> "NodeProcesses":
        return self

    def __exit__(self, *error: object) -> None:
        for process in self.running.values():
            with contextlib.suppress(OSError):
                process.kill()  # SIGKILL also ends a process that SIGSTOP has paused
        for process in self.running.values():
            process.wait()

    def configure(
        self, name: str, addresses: NodeAddresses, seeds: list[Address], control: list[str]
    ) -> None:
        """Write a node's configuration file; without `control` the node keeps its tenants in a journal."""
        host_port = "{}:{}".format
        admin: dict[str, Any] = {"listen": host_port(*addresses.admin), "token": RIG_ADMIN_TOKEN}
        config: dict[str, Any] = {
            "node": {"name": name, "stop_ms": STOP_MS},
            "ajp": {"listen": host_port(*addresses.ajp)},
            "admin": admin,
            "classes": [{"name": CLASS, "deadline_ms": 5000, "aim_ms": 1000}],
            "capacity": {"cores": 8},
            "workers": [
                {"name": worker, "host": address[0], "port": address[1], "connections": 64}
                for worker, address in self.workers.items()
            ],
        }
        if control:
            config["fleet"] = {
                "listen": host_port(*addresses.fleet),
                "advertise": host_port(*addresses.advertise),
                "zone": addresses.zone,
                "seeds": [host_port(*seed) for seed in seeds],
                "secret_file": str(self.secret),
            }
            config["replication"] = {"copy": str(self.replica_path(name)), "control": control}
        else:
            admin["state_dir"] = str(self.folder / f"{name}.state")
        self.config_path(name).write_text(tomli_w.dumps(config))

    def config_path(self, name: str) -> Path:
        """Return the path of a node's configuration file."""
        return self.folder / f"{name}.toml"

    def replica_path(self, name: str) -> Path:
        """Return the path of a node's replica of the tenant table."""
        return self.folder / f"{name}.db"

    def delete_replica(self, name: str) -> None:
        """Delete the replica of a node that does not run, as if its machine were replaced."""
        for path in self.folder.glob(f"{name}.db*"):
            shutil.rmtree(path) if path.is_dir() else path.unlink()

    def start(self, name: str) -> None:
        """Start a node; it appends to its earlier log."""
        environ = {key: value for key, value in os.environ.items() if key != "PROXY_CONFIG"}
        with self.log_file(name).open("ab") as log:
            self.running[name] = subprocess.Popen(
                deploy_command("run"),
                cwd=ROOT,
                env={**environ, "REELUSHER_OPERATOR": str(self.config_path(name))},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def send(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a node, if it runs."""
        if self.alive(name):
            self.running[name].send_signal(signal_number)

    def alive(self, name: str) -> bool:
        """Return whether a node's process runs."""
        process = self.running.get(name)
        return process is not None and process.poll() is None

    def log_file(self, name: str) -> Path:
        """Return the path of a node's log."""
        return self.folder / f"{name}.log"

    def error_lines(self, name: str) -> list[str]:
        """Return the lines of a node's log that report an error."""
        lines = self.log_file(name).read_text(errors="replace").splitlines()
        return [line for line in lines if any(marker in line for marker in ERROR_MARKERS)]

    def processor_s(self, name: str) -> float:
        """Return the processor time, in seconds, that a node's process has used."""
        fields = Path(f"/proc/{self.running[name].pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_kb(self, name: str) -> int:
        """Return the resident memory of a node's process, in KiB."""
        status = Path(f"/proc/{self.running[name].pid}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
