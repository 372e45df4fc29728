"""State that survives: frames with checksums, a journal of changes with snapshots, and what is kept in it."""
