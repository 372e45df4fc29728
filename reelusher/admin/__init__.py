"""Tenants, and the API that administers them."""
