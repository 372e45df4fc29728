"""Stand-ins for the peers of a node, and the processes of a case."""
