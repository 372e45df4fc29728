"""How the nodes of a fleet act together. Off and not imported on the platform, where they share nothing."""
