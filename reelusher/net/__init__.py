"""Threads, sockets and the poller: what front ends and backends share of the operating system."""
