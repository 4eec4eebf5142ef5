"""Queries: functions that read data and change no state."""
