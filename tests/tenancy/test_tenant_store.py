"""Tests of the table of tenants of one node: restarts, migration and concurrent changes."""

import json
import threading
from pathlib import Path
from typing import Any

import pytest

from reelusher.config import ConfigError
from reelusher.config.operator.file import parse
from reelusher.storage.directory import LockedDirectory
from reelusher.storage.errors import UnreadableStateError
from reelusher.storage.tenant_state import ChangeKind
from reelusher.tenancy.tenant_store import TenantStore, open_store

OPERATOR_FILE: dict[str, Any] = {
    "classes": [{"name": "day-view", "deadline_ms": 1000}],
    "workers": [{"name": "w1"}],
    "tenants": [{"name": "one", "backend": "w1"}, {"name": "two", "backend": "w1"}],
}


def test_state_survives_a_restart_with_audit_trail_and_revisions(tmp_path: Path) -> None:
    operator_config = parse(OPERATOR_FILE)
    names, backends = operator_config.class_names, frozenset({"w1"})
    store = open_store(tmp_path / "state", None, operator_config.tenants, names, backends)
    assert list(store.state.tenants) == ["one", "two"]
    store.change(ChangeKind.SET_STATE, "two", "x", state="suspended", idempotency_key="k1")
    store.change(ChangeKind.REMOVE, "one", "x")
    before = store.state
    assert store.journal is not None
    store.journal._directory.close()  # type: ignore[attr-defined]
    reopened = open_store(tmp_path / "state", None, operator_config.tenants, names, backends)
    assert reopened.state == before
    assert reopened.state.idempotency_keys == {"k1": "two"}
    assert [(tenant.name, state) for tenant, state in reopened.checked_tenants(names, backends)] == [
        ("two", "suspended")
    ]
    assert [entry.kind for entry in reopened.state.audit] == ["put", "put", "state", "remove"]


def test_old_state_file_is_migrated_once(tmp_path: Path) -> None:
    operator_config, old_file = parse(OPERATOR_FILE), tmp_path / "tenants.json"
    old_file.write_text(json.dumps({"tenants": [{"name": "kept", "backend": "w1"}]}))
    backends = frozenset({"w1"})
    store = open_store(
        tmp_path / "tenants.json.d", old_file, operator_config.tenants, operator_config.class_names, backends
    )
    assert list(store.state.tenants) == ["kept"]
    assert not old_file.exists()
    assert (tmp_path / "tenants.json.migrated").exists()
    old_file.write_text("{")
    with pytest.raises(ConfigError, match=r"admin.state_file"):
        open_store(
            tmp_path / "other.d", old_file, operator_config.tenants, operator_config.class_names, backends
        )


def test_concurrent_changes_are_all_made(tmp_path: Path) -> None:
    store = TenantStore(LockedDirectory(tmp_path / "state"))

    def work(actor: str) -> None:
        for number in range(20):
            store.change(ChangeKind.PUT, f"{actor}{number}", actor, {"name": f"{actor}{number}"})

    threads = [threading.Thread(target=work, args=(actor,)) for actor in "abcd"]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    numbers = sorted(stored.revision for stored in store.state.tenants.values())
    assert numbers == list(range(1, 81))


def test_change_that_does_not_fit_is_refused_before_it_is_durable(tmp_path: Path) -> None:
    """Guard against a node that can't start: the journal held a change that no restart could apply."""
    store = TenantStore(LockedDirectory(tmp_path / "state"))
    store.change(ChangeKind.PUT, "one", "x", {"name": "one"})
    with pytest.raises(UnreadableStateError, match="'remove' of 'two' does not fit the state"):
        store.change(ChangeKind.REMOVE, "two", "x")
    store.change(ChangeKind.SET_STATE, "one", "x", state="suspended")
    assert store.journal is not None
    store.journal._directory.close()  # type: ignore[attr-defined]
    reopened = TenantStore(LockedDirectory(tmp_path / "state"))
    assert reopened.state == store.state
