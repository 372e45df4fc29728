"""Upgrades: one process of a node takes over from another while both serve; see docs/operation.md."""
