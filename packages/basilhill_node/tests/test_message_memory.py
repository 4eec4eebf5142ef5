"""Tests of the readers that share the memory of a node."""

import subprocess
import sys

from attrs import define
from basilhill.memory import HeldMessage, MemoryAccount, MessageKind
from basilhill_node.sidecar.memory import MessageMemory

LIMIT = 1 << 20
# Grows bodies side by side, each with a small block behind it that stays, and prints the memory in
# MB that is still in use once all bodies have ended.
GROW_AND_END = """
import gc
import os
from basilhill_node.sidecar.allocator import return_large_blocks

def used_mb():
    with open("/proc/self/statm") as pages:
        return int(pages.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

assert return_large_blocks()
before = used_mb()
bodies, kept = [bytearray() for _ in range(100)], []
for _ in range(40):
    for body in bodies:
        body += bytes(16 << 10)
        kept.append(bytes(200))
grown = used_mb()
del body, bodies
gc.collect()
print(grown - before, used_mb() - before)
"""


@define(eq=False)
class Reader:
    """Reader that releases its message when it is refused."""

    memory: MessageMemory
    message: HeldMessage
    refused: bool = False

    def update_reading(self) -> None:
        pass

    def abandon(self) -> None:
        self.refused = True
        self.memory.release(self.message)


def new_reader(memory: MessageMemory, kind: MessageKind, size: int) -> Reader:
    reader = Reader(memory, HeldMessage(kind))
    memory.resize(reader.message, size, reader)
    return reader


def test_uploads_that_receive_nothing_make_room_for_a_response():
    """Guard against uploads short of their end that keep a node beyond its memory."""
    memory = MessageMemory(MemoryAccount(LIMIT))
    uploads = [new_reader(memory, MessageKind.REQUEST, LIMIT // 3) for _ in range(2)]
    new_reader(memory, MessageKind.RESPONSE, LIMIT)
    assert all(upload.refused for upload in uploads)
    assert memory.account.held_bytes == LIMIT


def test_ended_bodies_leave_no_holes_in_the_heap():
    """Guard against memory that a node keeps after the bodies of a crowd have ended."""
    found = subprocess.run(
        [sys.executable, "-c", GROW_AND_END], capture_output=True, text=True, check=True
    )
    grown_mb, kept_mb = map(float, found.stdout.split())
    assert grown_mb > 60
    assert kept_mb < 10
