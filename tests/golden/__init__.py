"""Recorded external forms of the program: stored data, wires, JSON answers and decisions."""
