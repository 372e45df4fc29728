"""Other costs that grow: the tenants' journal, observations for a warm start, key locks during an upgrade."""

import tempfile
import time
from functools import partial
from pathlib import Path

from reelusher.core.messages import IdempotencyKey, Result
from reelusher.fleet.membership.authentication import MessageAuthenticator
from reelusher.fleet.membership.messages import MAX_STATE_BYTES, Observation, ObservationsReply
from reelusher.fleet.warm_start.observations import MAX_OBSERVATIONS, combine
from reelusher.lab.capacity import site
from reelusher.lab.capacity.budgets import expected
from reelusher.lab.capacity.harness import Figures, Scale, cpu_us_per_call, require
from reelusher.storage.directory import LockedDirectory
from reelusher.storage.tenant_state import ChangeKind
from reelusher.tenancy.tenant_store import TenantStore
from reelusher.upgrade.key_lock_directory import KeyLock, KeyLockDirectory

CHANGES = 50


def _require_may_run(may_run: bool) -> None:
    """Raise RuntimeError unless a key may be run."""
    require(may_run, "a key may not be run")


def _fail_on_other_result(result: Result | None) -> None:
    """Raise RuntimeError, as no other process can have run a key."""
    raise RuntimeError("there is no other process")


def measure_journal(size: int) -> Figures:
    """Measure the tenants' state on disk: its first snapshot, a change, its size and recovery."""
    config = site.config(size)
    with tempfile.TemporaryDirectory() as name:
        directory = LockedDirectory(Path(name))
        store = TenantStore(directory)
        began = time.monotonic()
        store.import_tenants(require(config.operator).tenants)
        snapshot_s = time.monotonic() - began
        began = time.monotonic()
        for number in range(CHANGES):
            store.change(ChangeKind.SET_STATE, f"tenant-{number % size}", "operator", state="suspended")
        change_ms = (time.monotonic() - began) / CHANGES * 1000
        directory.close()
        kept_bytes = sum(path.stat().st_size for path in Path(name).iterdir())
        began = time.monotonic()
        reopened = LockedDirectory(Path(name))
        recovered = TenantStore(reopened)
        recover_s = time.monotonic() - began
        reopened.close()
        require(len(recovered.state.tenants) == size, "tenants are lost")
    return {
        "snapshot_s": snapshot_s,
        "change_ms": change_ms,
        "kept_mb": kept_bytes / 1e6,
        "recover_s": recover_s,
    }


def measure_observations(size: int) -> Figures:
    """Measure a donor's reply with an observation of each of `size` workers, and combining three of them."""
    observations = [Observation(f"away:worker-{number}", 0.0, 1_700_000_000.0) for number in range(size)]
    reply = MessageAuthenticator(b"a secret of sixteen", "lab", "127.0.0.1:1", 1).seal(
        ObservationsReply(True, observations)
    )
    combined = combine([observations] * 3, 1_700_000_000.0)
    return {
        "told_kb": len(reply) / 1000,
        "fits": float(len(reply) <= MAX_STATE_BYTES),
        "learnt": float(len(combined)),
        "weigh_ms": cpu_us_per_call(lambda: combine([observations[:MAX_OBSERVATIONS]] * 3, 1_700_000_000.0))
        / 1000,
    }


def measure_key_locks(size: int) -> Figures:
    """Measure the locks of `size` keys, each of which is a file, and a sweep for expired ones."""
    with tempfile.TemporaryDirectory() as name:
        directory = KeyLockDirectory(Path(name) / "hosted-1.keys")
        began = time.process_time()
        for number in range(size):
            directory.create(
                IdempotencyKey("tenant-0", "visits", f"key-{number}"), KeyLock(1_000_000, "0" * 32), 0
            )
        lock_us = (time.process_time() - began) / size * 1e6
        files = sum(1 for path in next(Path(name).iterdir()).iterdir())
        sweep_ms = cpu_us_per_call(lambda: _search_expired(directory)) / 1000
    return {"claim_us": lock_us, "files": float(files), "sweep_ms": sweep_ms}


def _search_expired(directory: KeyLockDirectory) -> None:
    for path in directory.paths():
        directory.remove_if_expired(path, 0)


SCALES = [
    partial(Scale, size_unit="tenants", target=expected("tenants"))(
        "state-journal",
        "the journal of tenants' state in a folder",
        sizes=(1000, 4000, 16_000, 64_000),
        quick=(50, 100, 200, 400),
        measure=measure_journal,
        units={"snapshot_s": "s", "change_ms": "ms", "kept_mb": "MB", "recover_s": "s"},
        notes=("a change is synced; this machine's disk",),
    ),
    partial(Scale, size_unit="workers", target=expected("routes"))(
        "learning",
        "what a fresh node learns of workers from three donors",
        sizes=(200, 1000, 4000, 16_000, 41_000),
        quick=(10, 20, 40, 80),
        measure=measure_observations,
        repeats=1,
        units={"told_kb": "KB", "fits": "", "learnt": "", "weigh_ms": "ms"},
        notes=("fits: 1 where the answer is within the 512 KB that an asker takes; past it none is",),
    ),
    partial(Scale, size_unit="keys", target=expected("node_requests_per_s") * 43)(
        "upgrade-claims",
        "claims of keys while two processes of a node may serve, a file each",
        sizes=(500, 1000, 2000, 4000),
        quick=(10, 20, 40, 80),
        measure=measure_key_locks,
        repeats=3,
        units={"claim_us": "µs", "files": "", "sweep_ms": "ms"},
        notes=("a claim stays for its window and 20 s; on the platform's front only",),
    ),
]
