"""The table of tenants on every node: streams of changes, announced and pulled, see docs/replication.md."""
