"""A replica of the tenant table in a SQLite file. `SqliteReplica` is the entry point."""

from reelusher.fleet.replication.sqlite_replica.errors import DamagedReplicaError, ForeignReplicaError
from reelusher.fleet.replication.sqlite_replica.replica import SqliteReplica
from reelusher.fleet.replication.sqlite_replica.rows import ReplicaAuditEntry, ReplicaRow

__all__ = [
    "DamagedReplicaError",
    "ForeignReplicaError",
    "ReplicaAuditEntry",
    "ReplicaRow",
    "SqliteReplica",
]
