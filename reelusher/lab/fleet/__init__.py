"""A rig of many nodes: real processes behind fault proxies, with stand-ins for everything else."""
