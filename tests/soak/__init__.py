"""A seeded soak of real node processes: random faults, signals and clients, and a checked history.

    make soak SEEDS=50 FIRST=1 SECONDS=12

plays one run for each seed and prints the violations. All random choices of a run come from its seed.
"""
