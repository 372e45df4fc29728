"""The result of an import, and how it is written as an operator's file."""

from dataclasses import dataclass, field
from typing import Any

import tomli_w

HEAD = """# Imported. The class below stands for all requests: give each class of yours its own entry,
# and each tenant routes that say which of its requests belong to which class.
"""


@dataclass(slots=True, frozen=True)
class Omission:
    """A setting that has no counterpart and was left out."""

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.reason}"


@dataclass(slots=True)
class Imported:
    """Workers, balancers and tenants by name, as the operator's file writes them, and omissions."""

    workers: dict[str, dict[str, Any]] = field(default_factory=dict)
    balancers: dict[str, dict[str, Any]] = field(default_factory=dict)
    tenants: dict[str, dict[str, Any]] = field(default_factory=dict)
    omissions: list[Omission] = field(default_factory=list)
    listed_backends: list[tuple[str, str, int]] = field(default_factory=list)  # name, file, line

    def add_omission(self, file: str, line: int, why: str) -> None:
        """Record a setting that has no counterpart."""
        self.omissions.append(Omission(file, line, why))

    def mount(self, prefix: str, backend: str, file: str, line: int) -> None:
        """Map the requests under a path to a backend, as a tenant."""
        name = prefix.strip("/").replace("/", "-") or "root"
        name = "".join(char if char.isalnum() or char in "-_." else "-" for char in name)[:64]
        if name in self.tenants:
            self.add_omission(file, line, f"the path {prefix} is taken by an earlier line")
            return
        self.tenants[name] = {"name": name, "prefix": prefix, "backend": backend, "default_class": "request"}

    def add_unmounted_omissions(self) -> None:
        """Record backends without a path: they get no requests until a tenant names them."""
        mounted = {tenant["backend"] for tenant in self.tenants.values()}
        for name, file, line in self.listed_backends:
            if name not in mounted and (name in self.workers or name in self.balancers):
                self.add_omission(
                    file, line, f"{name}: no JkMount or ProxyPass leads to it, so no tenant names it"
                )

    def to_toml(self, listen: str = "127.0.0.1:8009") -> str:
        """Return the text of an operator's file."""
        return HEAD + tomli_w.dumps(
            {
                "ajp": {"listen": listen},
                "classes": [{"name": "request", "effect": "safe", "deadline_ms": 30_000, "aim_ms": 5_000}],
                "workers": list(self.workers.values()),
                "balancers": list(self.balancers.values()),
                "tenants": list(self.tenants.values()),
            }
        )
