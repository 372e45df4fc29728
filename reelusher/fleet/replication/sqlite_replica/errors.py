"""Errors of the SQLite replica, beside `ReplicaError`."""

from pathlib import Path

from reelusher.fleet.replication.replica_store import ReplicaError


class DamagedReplicaError(ReplicaError):
    """The file is corrupt; `SqliteReplica.recreate` replaces it."""

    def __init__(self, path: Path, reason: str, subject: str = "") -> None:
        """`subject` names the part of the file that is corrupt, where it is known."""
        super().__init__(f"{path}: {subject}: {reason}" if subject else f"{path}: {reason}")
        self.reason = reason


class ForeignReplicaError(ReplicaError):
    """The file is intact, but of another fleet, control list, program or newer format: it is not changed."""
