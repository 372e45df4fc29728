"""One process of a node takes over from another while both serve: docs/operation.md."""
