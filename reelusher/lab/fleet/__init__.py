"""Many nodes at once: real processes behind relays that break links, and stand-ins for all else."""
