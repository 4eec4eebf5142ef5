"""Functions that change state and return a verdict or nothing."""
