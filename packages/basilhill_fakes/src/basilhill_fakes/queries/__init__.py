"""Functions without side effects."""
