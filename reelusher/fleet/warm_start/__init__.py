"""Warm start: a node that has just started uses observations of warm members; see docs/learning.md."""
