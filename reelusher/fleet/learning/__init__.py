"""What a fresh node learns from warm ones, so that it need not find out by failing: docs/learning.md."""
