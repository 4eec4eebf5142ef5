"""Read what the operating system counts for a process."""

import os
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    return int(proc_field(pid, "status", "VmRSS").split()[0]) / 1000


def transferred_bytes(pid: int) -> int:
    """Return the bytes that a process has read and written, on sockets and on files.

    Counts the read and write system calls, which uvloop uses for sockets too. Log lines are
    included, TCP and IP headers are not.
    """
    return int(proc_field(pid, "io", "rchar")) + int(proc_field(pid, "io", "wchar"))


def proc_field(pid: int, file: str, name: str) -> str:
    """Return a named field of a file of a process."""
    for line in Path(f"/proc/{pid}/{file}").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return line.split(":", 1)[1].strip()
    raise KeyError(name)
