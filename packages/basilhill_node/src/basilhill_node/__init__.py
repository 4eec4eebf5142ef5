"""Node of the fleet: a process that runs beside every backend server."""
