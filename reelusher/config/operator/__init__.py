"""The operator's file: a module for each section, and `file`, which reads and validates it as a whole."""
