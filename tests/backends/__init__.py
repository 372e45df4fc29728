"""Tests of the connections to the runtime and to workers."""
