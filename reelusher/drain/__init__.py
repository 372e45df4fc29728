"""Graceful shutdown: its schedule, the signals that start it, and the shutdown of callers' connections."""
