"""Functions that change the state of a node."""
