"""Functions that read and change nothing."""
