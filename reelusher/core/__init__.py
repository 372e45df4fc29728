"""The core of the node: the event loop and what it keeps about requests, free of any wire protocol."""
