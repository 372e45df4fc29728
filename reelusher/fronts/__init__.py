"""Fronts: what callers speak, translated to the core's requests and answers."""
