"""The result of an import, and its conversion to an operator's file."""

from dataclasses import dataclass, field
from typing import Any

import tomli_w

HEADER = """# Imported. The class below stands for all requests: give each class of yours its own entry,
# and each tenant routes that say which of its requests belong to which class.
"""


@dataclass(slots=True, frozen=True)
class Omission:
    """A part of an imported file that the operator's file does not reproduce, and why."""

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.reason}"


@dataclass(slots=True)
class Imported:
    """Workers, balancers and tenants by name, as tables of an operator's file, and the omissions."""

    workers: dict[str, dict[str, Any]] = field(default_factory=dict)
    balancers: dict[str, dict[str, Any]] = field(default_factory=dict)
    tenants: dict[str, dict[str, Any]] = field(default_factory=dict)
    omissions: list[Omission] = field(default_factory=list)
    # the names in `worker.list`, each with the file and the line that list it
    listed_backends: list[tuple[str, str, int]] = field(default_factory=list)

    def add_omission(self, file: str, line: int, reason: str) -> None:
        """Record a part of an imported file that the operator's file does not reproduce."""
        self.omissions.append(Omission(file, line, reason))

    def mount(self, prefix: str, backend: str, file: str, line: int) -> None:
        """Add a tenant that maps the requests under a path to a back end.

        If an earlier line has mapped a path to the same tenant name, this one is recorded as an omission.
        """
        name = prefix.strip("/").replace("/", "-") or "root"
        name = "".join(char if char.isalnum() or char in "-_." else "-" for char in name)[:64]
        if name in self.tenants:
            self.add_omission(file, line, f"the path {prefix} is taken by an earlier line")
            return
        self.tenants[name] = {"name": name, "prefix": prefix, "backend": backend, "default_class": "request"}

    def add_unmounted_omissions(self) -> None:
        """Record an omission for each listed back end without a path: no tenant sends it requests."""
        mounted = {tenant["backend"] for tenant in self.tenants.values()}
        for name, file, line in self.listed_backends:
            if name not in mounted and (name in self.workers or name in self.balancers):
                self.add_omission(
                    file, line, f"{name}: no JkMount or ProxyPass leads to it, so no tenant names it"
                )

    def to_toml(self, listen: str = "127.0.0.1:8009") -> str:
        """Return the text of an operator's file."""
        return HEADER + tomli_w.dumps(
            {
                "ajp": {"listen": listen},
                "classes": [{"name": "request", "effect": "safe", "deadline_ms": 30_000, "aim_ms": 5_000}],
                "workers": list(self.workers.values()),
                "balancers": list(self.balancers.values()),
                "tenants": list(self.tenants.values()),
            }
        )
