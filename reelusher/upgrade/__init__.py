"""Upgrades: a new process of a node takes over from the old one while both serve; see docs/operation.md."""
