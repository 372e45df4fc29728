"""Client side of AJP13: connections to workers, the worker pool and load balancing."""
