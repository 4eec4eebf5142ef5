"""A loopback proxy that delays, resets, silences or cuts one way what it carries."""

import asyncio
from enum import Enum

from attrs import define, field

CHUNK_BYTES = 64 << 10


class LinkFault(Enum):
    """Name what a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    # New connections are accepted and nothing passes in either direction, without a reset.
    SILENCE = "silence"
    CUT_TO_TARGET = "cut-to-target"
    CUT_FROM_TARGET = "cut-from-target"


BLOCKED_TO_TARGET = (LinkFault.SILENCE, LinkFault.CUT_TO_TARGET)
BLOCKED_FROM_TARGET = (LinkFault.SILENCE, LinkFault.CUT_FROM_TARGET)


def open_gate() -> asyncio.Event:
    """Return an event that is set."""
    event = asyncio.Event()
    event.set()
    return event


@define(eq=False)
class FaultProxy:
    """Carry the connections to one address; bytes held up by a cut arrive when it ends."""

    target: str
    target_port: int
    fault: LinkFault = LinkFault.NONE
    delay_s: float = 0.05
    # Set while bytes may pass.
    to_target: asyncio.Event = field(factory=open_gate)
    from_target: asyncio.Event = field(factory=open_gate)
    writers: set[asyncio.StreamWriter] = field(factory=set)
    tasks: set[asyncio.Task] = field(factory=set)
    server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen on an address."""
        self.server = await asyncio.start_server(self.accept, address, port)

    def set_fault(self, fault: LinkFault) -> None:
        """Change what happens to connections; a reset ends those that are open."""
        self.fault = fault
        for passing, blocked in (
            (self.to_target, BLOCKED_TO_TARGET),
            (self.from_target, BLOCKED_FROM_TARGET),
        ):
            if fault in blocked:
                passing.clear()
            else:
                passing.set()
        if fault is LinkFault.RESET:
            for writer in tuple(self.writers):
                writer.transport.abort()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection until either side ends it."""
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        onward = None
        try:
            onward_reader, onward = await asyncio.open_connection(self.target, self.target_port)
            self.writers.add(onward)
            copies = [
                asyncio.create_task(self.copy(reader, onward, self.to_target)),
                asyncio.create_task(self.copy(onward_reader, writer, self.from_target)),
            ]
            try:
                await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for copy in copies:
                    copy.cancel()
        except OSError:
            # Nobody listens at the target: its process is down, and the caller sees a reset.
            pass
        finally:
            for opened in (writer, onward):
                if opened is not None:
                    self.writers.discard(opened)
                    opened.transport.abort()
            self.tasks.discard(task)

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, passing: asyncio.Event
    ) -> None:
        """Copy one direction until its end."""
        while True:
            try:
                data = await reader.read(CHUNK_BYTES)
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                await passing.wait()
                if not data:
                    return
                writer.write(data)
                await writer.drain()
            except OSError:
                # One side reset its connection; the other one is reset with it.
                return

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for task in tuple(self.tasks):
            task.cancel()
