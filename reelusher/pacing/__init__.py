"""Pacing of periodic work and retries, so that many nodes do not act in step; see docs/pacing.md."""
