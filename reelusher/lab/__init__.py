"""The laboratory: load over AJP, stand-in workers, and reports. Not needed by a node."""
