"""The operator's file, one module a section; `file` reads and checks it as a whole."""
