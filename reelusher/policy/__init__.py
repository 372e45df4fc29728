"""All decisions of a node, free of I/O: settings and events are the input, actions the output."""
