"""Functions that read the state of a node."""
