"""Functions that read state and change nothing."""
