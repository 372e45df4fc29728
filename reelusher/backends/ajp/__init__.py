"""AJP workers behind the node: connections, pools and load balancing."""
