"""Every decision of a node, without I/O: settings and events in, actions out."""
