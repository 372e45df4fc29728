"""Tests of the tenancy."""
