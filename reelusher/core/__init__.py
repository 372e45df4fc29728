"""The core of the node: the event loop and the state of requests, independent of any wire protocol."""
