"""The table of tenants on every node: partitions with one writer each, see docs/replication.md."""
