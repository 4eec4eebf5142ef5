"""Functions that change state and return a result or nothing."""
