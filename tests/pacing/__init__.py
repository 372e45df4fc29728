"""Tests of pacing."""
