"""Backends: the parties that a node talks to on behalf of its requests."""
