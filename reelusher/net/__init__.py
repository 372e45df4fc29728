"""Threads, sockets and the poller: what frontends and backends use of the operating system."""
