"""Scale tests: what a node, its fleet and those round it take at four sizes or more, and the slopes."""
