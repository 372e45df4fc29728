"""Durable state on the local disk: checksummed frames, a journal with snapshots, and what it stores."""
