"""When periodic work is done again, so that many nodes do not do it in step; see docs/pacing.md."""
