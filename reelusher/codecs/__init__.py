"""Codecs of the wires: pure and incremental, bytes in and values out, with no socket in sight."""
