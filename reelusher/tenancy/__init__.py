"""Tenants that share one node: what each may take, who they are, and how that survives a restart."""
