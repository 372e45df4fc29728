"""The replicated table of tenants: partitions with one writer each, see docs/replication.md."""
