"""The adapter that hosts controllers for the simulator."""
