"""Loopback proxy that delays, resets, stalls or partitions connections."""

import asyncio
from enum import Enum

from attrs import define, field

CHUNK_BYTES = 64 << 10


class LinkFault(Enum):
    """Fault that a proxy injects into its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    # Connections are accepted but no bytes pass in either direction and nothing is reset.
    UNRESPONSIVE = "silence"
    PARTITION_TO_TARGET = "cut-to-target"
    PARTITION_FROM_TARGET = "cut-from-target"


BLOCKED_TO_TARGET = (LinkFault.UNRESPONSIVE, LinkFault.PARTITION_TO_TARGET)
BLOCKED_FROM_TARGET = (LinkFault.UNRESPONSIVE, LinkFault.PARTITION_FROM_TARGET)


def new_set_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


@define(eq=False)
class FaultProxy:
    """Proxy of one address; bytes delayed by a partition are delivered when it ends."""

    target: str
    target_port: int
    fault: LinkFault = LinkFault.NONE
    delay_s: float = 0.05
    # Set while bytes may pass in that direction.
    to_target_open: asyncio.Event = field(factory=new_set_event)
    from_target_open: asyncio.Event = field(factory=new_set_event)
    writers: set[asyncio.StreamWriter] = field(factory=set)
    tasks: set[asyncio.Task] = field(factory=set)
    server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        self.server = await asyncio.start_server(self.accept, address, port)

    def set_fault(self, fault: LinkFault) -> None:
        """Set the injected fault; a reset aborts the open connections."""
        self.fault = fault
        for may_pass, blocked in (
            (self.to_target_open, BLOCKED_TO_TARGET),
            (self.from_target_open, BLOCKED_FROM_TARGET),
        ):
            if fault in blocked:
                may_pass.clear()
            else:
                may_pass.set()
        if fault is LinkFault.RESET:
            for writer in tuple(self.writers):
                writer.transport.abort()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until either side closes it."""
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        target_writer = None
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target, self.target_port
            )
            self.writers.add(target_writer)
            copy_tasks = [
                asyncio.create_task(self.copy_stream(reader, target_writer, self.to_target_open)),
                asyncio.create_task(self.copy_stream(target_reader, writer, self.from_target_open)),
            ]
            try:
                await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for copy_task in copy_tasks:
                    copy_task.cancel()
        except OSError:
            # The target does not listen because its process is down; the client gets a reset.
            pass
        finally:
            for stream_writer in (writer, target_writer):
                if stream_writer is not None:
                    self.writers.discard(stream_writer)
                    stream_writer.transport.abort()
            self.tasks.discard(task)

    async def copy_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, may_pass: asyncio.Event
    ) -> None:
        """Copy one direction until end of file or an error."""
        while True:
            try:
                data = await reader.read(CHUNK_BYTES)
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                await may_pass.wait()
                if not data:
                    return
                writer.write(data)
                await writer.drain()
            except OSError:
                # One side reset its connection; the connection of the other side is reset as well.
                return

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for task in tuple(self.tasks):
            task.cancel()
