"""Tests of the OpenAPI document, of merge patches, and of tenants stored by a process that is killed."""

import dataclasses
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

from reelusher.admin import openapi
from reelusher.admin.api import AdminApi, AdminContext
from reelusher.admin.merge_patch import merge_patch
from reelusher.config.operator.admin import Admin
from reelusher.config.operator.tenants import QuotaSettings, Tenant
from reelusher.core.event_loop import Core
from reelusher.storage.directory import LockedDirectory
from reelusher.tenancy.tenant_store import TenantStore

ROOT = Path(__file__).parent.parent.parent
WRITER = """
import sys
from pathlib import Path
from reelusher.storage.directory import LockedDirectory
from reelusher.storage.tenant_state import ChangeKind
from reelusher.tenancy.tenant_store import TenantStore
store = TenantStore(LockedDirectory(Path(sys.argv[1])))
number = len(store.state.tenants)
print("ready", flush=True)
while True:
    name = f"t{number}"
    store.change(ChangeKind.PUT, name, "writer", {"name": name, "round": number})
    print(number, flush=True)
    number += 1
"""


def test_openapi_document_has_every_route_and_no_other() -> None:
    from core_harness import Backend
    from helpers import small_node_settings

    core = Core(small_node_settings(), [], 1, Backend())
    api = AdminApi(
        Admin(("127.0.0.1", 0), "a-token-for-tests", (), "", False, ""),
        AdminContext(core, None, TenantStore(None), None, dict, lambda: True),  # type: ignore[arg-type]
    )
    document = openapi.document()
    documented = {(method.upper(), path) for path, methods in document["paths"].items() for method in methods}
    assert documented == api.routes()
    assert len(documented) == len(openapi.OPERATIONS)
    api.close()


def test_openapi_document_has_every_field_of_a_tenant() -> None:
    fields = {field.name for field in dataclasses.fields(Tenant)} | {"state"}
    assert set(openapi.SCHEMAS["Tenant"]["properties"]) == fields
    quota_fields = {field.name for field in dataclasses.fields(QuotaSettings)}
    assert set(openapi.SCHEMAS["Share"]["properties"]) == quota_fields


def test_merge_patches_of_rfc_7396() -> None:
    """Cases of RFC 7396, appendix A."""
    for target, patch, expected in (
        ({"a": "b"}, {"a": "c"}, {"a": "c"}),
        ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
        ({"a": "b"}, {"a": None}, {}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
        ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
        (["a"], {"a": 1}, {"a": 1}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ):
        assert merge_patch(target, patch) == expected


def change_and_kill(folder: Path, rounds: int, seed: int, max_delay_s: float) -> int:
    """Start and kill a process that stores tenants, `rounds` times; return how many tenants are stored.

    Each time, all changes that it acknowledged must be there, and at most one more.
    """
    rng, acknowledged = random.Random(seed), 0
    for _ in range(rounds):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(folder)],
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
        assert process.stdout is not None
        assert process.stdout.readline() == "ready\n"
        time.sleep(rng.uniform(0, max_delay_s))
        process.send_signal(signal.SIGKILL)
        lines = process.stdout.read().split("\n")[:-1]  # the last one may be incomplete
        process.wait()
        acknowledged = max([acknowledged, *(int(line) + 1 for line in lines)])
        directory = LockedDirectory(folder)
        store = TenantStore(directory)
        assert len(store.state.tenants) in (acknowledged, acknowledged + 1)
        assert all(
            stored.tenant["round"] == number for number, stored in enumerate(store.state.tenants.values())
        )
        acknowledged = len(store.state.tenants)
        directory.close()
    return acknowledged


def test_acknowledged_changes_survive_a_killed_process(tmp_path: Path) -> None:
    assert change_and_kill(tmp_path / "state", 8, 1, 0.15) > 0
