"""Sockets, listeners, send buffers, threads and the poller, shared by front ends and back ends."""
