"""Tests of stored state."""
