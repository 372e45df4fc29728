"""Tests of the core."""
