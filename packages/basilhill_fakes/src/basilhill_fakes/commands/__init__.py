"""Functions that change something outside this process."""
