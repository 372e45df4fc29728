"""Leaving: when each stage of a drain begins, and how the connections of a front are brought to their end."""
