"""The node: a process beside every backend server."""
