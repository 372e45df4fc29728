"""Tests of upgrades."""
