"""Clients for the services that a node uses: the runtime, AJP workers, downstream service, registry."""
