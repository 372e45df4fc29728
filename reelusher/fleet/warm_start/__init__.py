"""What a node that has just started takes over from warm members: docs/learning.md."""
