"""Adapter to the platform: translation of its messages, which makes no decisions."""
