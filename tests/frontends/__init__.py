"""Tests of the front ends."""
