"""What a node that has just started learns from warm ones: docs/learning.md."""
