"""Tests of the policy."""
