"""The node processes of a run, started with the deployed command; each is ended by its process id."""

import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

from reelusher.config.checked_table import Address
from reelusher.lab.fleet.census import RIG_ADMIN_TOKEN
from reelusher.lab.fleet.plan import EFFECTS, Plan

ROOT = Path(__file__).parents[3]


def deploy_command(command: str) -> list[str]:
    """Return a command of the deploy file as the platform starts it, but with this interpreter."""
    text = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[command]
    return ["/bin/sh", "-c", text.replace(".venv/bin/python", sys.executable)]


def node_seed(plan: Plan, name: str) -> int:
    """Return the random seed of a node."""
    return random.Random(f"{plan.run.seed} {name}").getrandbits(48)


def node_settings(plan: Plan, cold_start: bool) -> dict[str, Any]:
    """Return the settings that the platform gives each node; `cold_start`: its machine is cold."""
    count = len(plan.node_names())
    own = {
        "cores": plan.nodes.cores,
        "ram_kb": plan.nodes.memory_kb,
        "blowup": 16.0,
        "entry_kb": 10.0,
        "below": "common",
        "calls_out": plan.downstream.capacity * len(plan.downstream_names()) / count,
        "calls_over_us": int(plan.downstream.over_s * 1e6),
        "linger_us": 0,
        "say": "tokens",
        "halt": "silent",
        "class_calls": [request_class.calls for request_class in plan.classes],
        "class_skip_worth": [request_class.skip_worth for request_class in plan.classes],
        "caller_idle_us": 30_000_000,
        "heard_for_us": 1_000_000,
        "clients_total": sum(zone.callers for zone in plan.zones),
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "fresh_start": cold_start,
    }
    return {
        "categories": [
            {
                "name": request_class.name,
                "effect": EFFECTS[request_class.effect],
                "deadline_us": int(request_class.deadline_ms * 1000),
                "objective_us": int(request_class.aim_ms * 1000),
                "worth": request_class.worth,
                "repeat_window_us": int(request_class.window_ms * 1000) if request_class.keyed else 0,
            }
            for request_class in plan.classes
        ],
        "family_info": own,
        "group_size": count,
        "tick_us": 5000,
        "rules": {
            "tip_multiple": 6.0,
            "fall_us": 2_000_000,
            "cold_from": plan.nodes.cold_from,
            "cold_us": int(plan.nodes.cold_s * 1e6),
            "drain_grace_us": 1_000_000,
            "answer_slack_us": 80_000,
        },
        "limits": {"retry_after": True, "max_retry_after_us": 1_000_000},
    }


def core_wait_s(pid: int) -> dict[str, float]:
    """Return the total seconds for which each thread of a process was ready to run but had no core."""
    waits: dict[str, float] = {}
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        with contextlib.suppress(OSError):  # a thread has just ended
            waits[path.parent.name] = int(path.read_text().split()[1]) / 1e9
    return waits


class Processes:
    """The node processes of a run. Leaving the context kills all processes that it started."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder, self.command = plan, folder, deploy_command("run")
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.configs: dict[str, dict[str, Any]] = {}
        self.operator_files: dict[str, Path] = {}  # of nodes that are members of a fleet
        self.environment: dict[str, str] = {}  # variables that all nodes get beside those of this process

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *fault: object) -> None:
        for process in self.running.values():
            with contextlib.suppress(OSError):
                process.kill()  # works for stopped processes too
        for process in self.running.values():
            process.wait()

    def configure(
        self, name: str, listen: Address, downstream: Address, registry: Address, runtime: Address
    ) -> None:
        """Set a node's configuration."""
        host_port = "{}:{}".format
        self.configs[name] = {
            "name": name,
            "listen": host_port(*listen),
            "runtime": host_port(*runtime),
            "directory": host_port(*registry),
            "vault": host_port(*downstream),
            "seed": f"{node_seed(self.plan, name):x}",
            "stop_ms": self.plan.nodes.stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
        }

    def configure_fleet(
        self, name: str, listen: Address, advertise: Address, seeds: list[Address], zone: str, admin: Address
    ) -> None:
        """Write the operator file of a node that is a member of the fleet."""
        host_port = "{}:{}".format
        secret = self.folder / "secret"
        secret.write_text(f"the secret of run {self.plan.run.seed:032d}")
        path = self.operator_files[name] = self.folder / f"{name}.toml"
        path.write_text(
            tomli_w.dumps(
                {
                    "fleet": {
                        "listen": host_port(*listen),
                        "advertise": host_port(*advertise),
                        "zone": zone,
                        "seeds": [host_port(*seed) for seed in seeds],
                        "secret_file": str(secret),
                    },
                    "admin": {"listen": host_port(*admin), "token": RIG_ADMIN_TOKEN},
                }
            )
        )

    def start(self, name: str, cold_start: bool) -> None:
        """Start a node, which appends to its log file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({**self.configs[name], "settings": node_settings(self.plan, cold_start)}))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env={
                    **os.environ,
                    **self.environment,
                    "PROXY_CONFIG": str(path),
                    **(
                        {"REELUSHER_OPERATOR": str(self.operator_files[name])}
                        if name in self.operator_files
                        else {}
                    ),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a node if it is running."""
        if self.is_alive(name):
            self.running[name].send_signal(signal_number)

    def is_alive(self, name: str) -> bool:
        """Return whether a node's process is running."""
        process = self.running.get(name)
        return process is not None and process.poll() is None

    def kill(self, name: str) -> None:
        """Kill a node's process and wait for its end."""
        process = self.running[name]
        process.kill()
        process.wait()

    def log(self, name: str) -> str:
        """Return the text of a node's log."""
        return (self.folder / f"{name}.log").read_text(errors="replace")
