"""Test doubles of the platform, backend servers and callers."""
