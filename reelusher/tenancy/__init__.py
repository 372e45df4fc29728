"""Tenants that share one node: quotas and fair queue, lifecycle, index, cache and tables."""
