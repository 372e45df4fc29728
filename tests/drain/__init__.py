"""Tests of graceful shutdown."""
