"""Incremental codecs of the wire protocols: they convert bytes to values and back, without any I/O."""
