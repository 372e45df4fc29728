"""Tests of tenants that share a node."""
