"""Front ends: how requests reach the node, and the second address for operators."""
