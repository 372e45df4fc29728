"""Tests of `reelusher.policy`."""
