"""Functions that change state outside this process."""
