"""Golden tests: the external formats of the program are compared with recorded ones.

These are stored data, messages on the wire, JSON answers, counters, configuration errors and decisions.
"""
