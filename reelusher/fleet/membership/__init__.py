"""Fleet membership: SWIM with suspicion and Lifeguard's local health; see docs/membership.md."""
