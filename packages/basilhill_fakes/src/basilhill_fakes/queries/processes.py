"""Resource usage of a process as counted by the operating system."""

import os
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the CPU time used by a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB (1,000 kB)."""
    return int(proc_field(pid, "status", "VmRSS").split()[0]) / 1000


def transferred_bytes(pid: int) -> int:
    """Return the bytes that a process has read and written on sockets and files.

    Counts the read and write system calls, which uvloop also uses for sockets. Includes log lines
    but no TCP and IP headers.
    """
    return int(proc_field(pid, "io", "rchar")) + int(proc_field(pid, "io", "wchar"))


def proc_field(pid: int, file: str, name: str) -> str:
    """Return a named field of a file in /proc/PID; KeyError if the file lacks it."""
    for line in Path(f"/proc/{pid}/{file}").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return line.split(":", 1)[1].strip()
    raise KeyError(name)
