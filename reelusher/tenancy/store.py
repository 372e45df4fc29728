"""The tenants' state file."""

import json
import os
from collections.abc import Iterable
from pathlib import Path

from reelusher.config.operator import Tenant, read_tenant
from reelusher.config.table import ConfigError, Table
from reelusher.tenancy.lifecycle import Entry, State


def save(entries: Iterable[Entry], path: Path) -> None:
    """Write tenants to the state file, so that a restart finds them: whole or not at all."""
    fresh = path.with_name(path.name + ".new")
    fresh.write_text(json.dumps({"tenants": [
        entry.tenant.to_json() for entry in entries if entry.state is not State.DRAINING]}, indent=1) + "\n")
    os.replace(fresh, path)


def saved(path: Path, class_names: tuple[str, ...], backends: frozenset[str]
          ) -> list[tuple[Tenant, State]] | None:
    """Read the state file; None where there is none yet."""
    if not path.exists():
        return None
    try:
        table = Table(json.loads(path.read_text()), str(path))
    except (OSError, ValueError) as error:
        raise ConfigError("admin.state_file", str(error)) from None
    return [(read_tenant(entry, class_names, backends), State.ACTIVE) for entry in table.tables("tenants")]
