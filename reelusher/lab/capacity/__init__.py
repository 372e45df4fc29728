"""Scale tests: what a node, its fleet and the systems around it cost, and how that grows with the size."""
