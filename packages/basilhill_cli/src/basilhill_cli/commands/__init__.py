"""Commands: functions that write files or change state."""
