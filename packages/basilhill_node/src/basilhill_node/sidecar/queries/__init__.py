"""Functions that read the state of a sidecar node."""
