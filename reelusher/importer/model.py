"""What an import gathers, and how it is written as an operator's file."""

from dataclasses import dataclass, field
from typing import Any

import tomli_w

HEAD = """# Imported. The class below stands for all requests: give each class of yours its own entry,
# and each tenant routes that say which of its requests belong to which class.
"""


@dataclass(slots=True, frozen=True)
class Left:
    """Something that could not be carried over."""

    file: str
    line: int
    why: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.why}"


@dataclass(slots=True)
class Imported:
    """Workers, balancers and tenants by name, as the operator's file writes them, and what was left out."""

    workers: dict[str, dict[str, Any]] = field(default_factory=dict)
    balancers: dict[str, dict[str, Any]] = field(default_factory=dict)
    tenants: dict[str, dict[str, Any]] = field(default_factory=dict)
    left: list[Left] = field(default_factory=list)
    listed: list[tuple[str, str, int]] = field(default_factory=list)  # backends meant for requests, and where

    def leave(self, file: str, line: int, why: str) -> None:
        """Note what could not be carried over."""
        self.left.append(Left(file, line, why))

    def mount(self, prefix: str, backend: str, file: str, line: int) -> None:
        """Give the requests below a path to a backend, as a tenant of their own."""
        name = prefix.strip("/").replace("/", "-") or "root"
        name = "".join(char if char.isalnum() or char in "-_." else "-" for char in name)[:64]
        if name in self.tenants:
            self.leave(file, line, f"the path {prefix} is taken by an earlier line")
            return
        self.tenants[name] = {"name": name, "prefix": prefix, "backend": backend, "default_class": "request"}

    def leave_unmounted(self) -> None:
        """Note the backends that no path leads to: they get no requests until a tenant names them."""
        mounted = {tenant["backend"] for tenant in self.tenants.values()}
        for name, file, line in self.listed:
            if name not in mounted and (name in self.workers or name in self.balancers):
                self.leave(file, line, f"{name}: no JkMount or ProxyPass leads to it, so no tenant names it")

    def to_toml(self, listen: str = "127.0.0.1:8009") -> str:
        """Write an operator's file."""
        return HEAD + tomli_w.dumps(
            {
                "ajp": {"listen": listen},
                "classes": [{"name": "request", "effect": "safe", "deadline_ms": 30_000, "aim_ms": 5_000}],
                "workers": list(self.workers.values()),
                "balancers": list(self.balancers.values()),
                "tenants": list(self.tenants.values()),
            }
        )
