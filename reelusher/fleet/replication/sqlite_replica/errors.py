"""The errors of the SQLite replica; both are kinds of `ReplicaError`."""

from pathlib import Path

from reelusher.fleet.replication.replica_store import ReplicaError


class DamagedReplicaError(ReplicaError):
    """The file is corrupt; `SqliteReplica.recreate` replaces it."""

    def __init__(self, path: Path, reason: str, subject: str = "") -> None:
        """`subject` names the part of the file that is corrupt, if it is known."""
        super().__init__(f"{path}: {subject}: {reason}" if subject else f"{path}: {reason}")
        self.reason = reason


class ForeignReplicaError(ReplicaError):
    """The file is intact, but it belongs to another fleet, control list or program, or has a newer format.

    It is left unchanged.
    """
