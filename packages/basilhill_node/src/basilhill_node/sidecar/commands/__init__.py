"""Functions that change the state of a sidecar node."""
