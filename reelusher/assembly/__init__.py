"""Builds the parts of a node from its configuration."""
