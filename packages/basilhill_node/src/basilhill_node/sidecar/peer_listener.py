"""Incoming streams of peer nodes, whose calls run on the local backend server."""

import asyncio
from typing import Any

from attrs import define, field
from basilhill.clocks import Clock
from basilhill.levels import RouteLevels
from basilhill.outcomes import Reason, may_have_run
from basilhill.queries.levels import tree_level
from basilhill.queries.slots import reported_calls
from expression import Error

from basilhill_node.sidecar.commands.exchange_peer_updates import PeerUpdateExchange
from basilhill_node.sidecar.commands.execute_call import CallExecutor
from basilhill_node.sidecar.commands.publish_feed import FeedPublisher
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import (
    Execute,
    FrameKind,
    Reply,
    Subscribe,
    decode_execute,
    encode_frame,
    encode_reply,
)
from basilhill_node.sidecar.streams import StreamConnection

PONG = encode_frame(FrameKind.PONG)


@define(eq=False)
class IncomingStream:
    """Incoming stream of a peer with the tasks of its calls by call id."""

    connection: StreamConnection
    calls: dict[int, asyncio.Task] = field(factory=dict)


@define(eq=False)
class PeerListener:
    """Listener for the streams of peer nodes."""

    executor: CallExecutor
    levels: RouteLevels
    peer_updates: PeerUpdateExchange
    publisher: FeedPublisher
    clock: Clock
    log: EventLog
    streams: dict[StreamConnection, IncomingStream] = field(factory=dict)
    server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen on an address; raise OSError if it is in use."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: StreamConnection(self.clock, self.handle, self.open, self.record), address, port
        )

    def open(self, connection: StreamConnection) -> None:
        """Register a new stream and start to wait for its end."""
        incoming = self.streams[connection] = IncomingStream(connection)
        self.peer_updates.open(connection)
        asyncio.get_running_loop().create_task(self.watch(incoming))

    async def watch(self, incoming: IncomingStream) -> None:
        """Wait until a stream is closed, then cancel its calls, whose replies cannot be sent."""
        await incoming.connection.closed.wait()
        del self.streams[incoming.connection]
        self.peer_updates.close(incoming.connection)
        self.publisher.close(incoming.connection)
        for task in tuple(incoming.calls.values()):
            task.cancel()

    def handle(self, connection: StreamConnection, kind: FrameKind, fields: list[Any]) -> None:
        if kind is FrameKind.EXECUTE:
            self.start_call(
                self.streams[connection], decode_execute(fields, connection.received_headers)
            )
        elif kind is FrameKind.CANCEL:
            task = self.streams[connection].calls.get(fields[0])
            if task is not None:
                task.cancel()
        elif kind is FrameKind.PING:
            connection.send(PONG)
        elif kind is FrameKind.SUBSCRIBE:
            self.publisher.subscribe(connection, Subscribe(*fields))
        else:
            self.peer_updates.receive(connection, kind, fields)

    def start_call(self, incoming: IncomingStream, call: Execute) -> None:
        """Start a task that runs a call and replies on its stream."""
        call_id = call.call_id
        task = asyncio.get_running_loop().create_task(self.reply(incoming, call))
        incoming.calls[call_id] = task
        task.add_done_callback(lambda _: incoming.calls.pop(call_id, None))

    async def reply(self, incoming: IncomingStream, call: Execute) -> None:
        """Run a call and send its reply with the load and the admission level."""
        try:
            outcome = await self.executor.execute(call)
        except Exception as error:
            self.log.record("execute", "failed", call.request_id, problem=repr(error))
            outcome = Error(may_have_run(Reason.INTERNAL, "the node failed"))
        now_ms = self.clock.now_ms()
        running = reported_calls(self.executor.state.slots, now_ms)
        level = tree_level(self.levels, call.route, self.executor.state.level.level, now_ms)
        reply = Reply(call.call_id, outcome, running, level)
        connection = incoming.connection
        connection.send(encode_reply(reply, connection.sent_headers))

    def unsent_bytes(self) -> int:
        """Return the bytes of replies that peers have not taken yet."""
        return sum(one.transport.get_write_buffer_size() for one in self.streams)

    def record(self, event: str) -> None:
        self.log.record("peer", event)

    def close(self) -> None:
        """Stop listening and close all streams after their last replies have been sent."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.streams):
            connection.finish()
