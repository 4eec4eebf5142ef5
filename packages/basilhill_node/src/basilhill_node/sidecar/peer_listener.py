"""Incoming streams of peer nodes, whose calls run on the local backend server."""

import asyncio
from typing import Any

from attrs import define, field
from basilhill.clocks import Clock
from basilhill.levels import RouteLevels
from basilhill.memory import SMALL_MESSAGE_BYTES, HeldMessage, MessageKind
from basilhill.outcomes import Outcome, Reason, may_have_run
from basilhill.queries.levels import tree_level
from basilhill.queries.slots import reported_calls
from expression import Error

from basilhill_node.sidecar.body_transfers import BODY_KINDS, BodyPlace, BodyTransfers
from basilhill_node.sidecar.commands.exchange_peer_updates import PeerUpdateExchange
from basilhill_node.sidecar.commands.execute_call import CallExecutor
from basilhill_node.sidecar.commands.keep_credits import CreditKeeper
from basilhill_node.sidecar.commands.publish_feed import FeedPublisher
from basilhill_node.sidecar.credit_frames import decode_credit_request, encode_credit_grant
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import (
    PONG,
    Execute,
    FrameKind,
    Reply,
    Subscribe,
    decode_execute,
    encode_reply,
)
from basilhill_node.sidecar.memory import MessageMemory
from basilhill_node.sidecar.streams import StreamConnection


@define(eq=False)
class IncomingStream:
    """Incoming stream of a peer with the tasks of its calls by call id."""

    connection: StreamConnection
    transfers: BodyTransfers
    calls: dict[int, asyncio.Task] = field(factory=dict)


@define(eq=False)
class PeerListener:
    """Listener for the streams of peer nodes."""

    executor: CallExecutor
    levels: RouteLevels
    peer_updates: PeerUpdateExchange
    publisher: FeedPublisher
    keeper: CreditKeeper
    clock: Clock
    log: EventLog
    memory: MessageMemory = field(factory=MessageMemory.of_node)
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
        transfers = BodyTransfers(connection, self.memory, MessageKind.REQUEST)
        # The peer states its version before its first call, or is of version 0.
        transfers.version_known.set()
        incoming = self.streams[connection] = IncomingStream(connection, transfers)
        self.peer_updates.open(connection)
        asyncio.get_running_loop().create_task(self.watch(incoming))

    async def watch(self, incoming: IncomingStream) -> None:
        """Wait until a stream is closed, then cancel its calls, whose replies cannot be sent."""
        await incoming.connection.closed.wait()
        del self.streams[incoming.connection]
        incoming.transfers.close()
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
            self.cancel_call(self.streams[connection], fields[0])
        elif kind in BODY_KINDS:
            self.streams[connection].transfers.handle(kind, fields)
        elif kind is FrameKind.PING:
            self.streams[connection].transfers.learn_version(fields)
            connection.send(PONG)
        elif kind is FrameKind.CREDIT_REQUEST:
            number, *fields = fields
            grant = self.keeper.grant(decode_credit_request(fields))
            connection.send(encode_credit_grant(number, grant))
        elif kind is FrameKind.SUBSCRIBE:
            self.publisher.subscribe(connection, Subscribe(*fields))
        else:
            self.peer_updates.receive(connection, kind, fields)

    def start_call(self, incoming: IncomingStream, call: Execute) -> None:
        """Start a task that runs a call and replies on its stream."""
        call_id = call.call_id
        if call.body is None:
            call.body = incoming.transfers.take(call_id)
        task = asyncio.get_running_loop().create_task(self.reply(incoming, call))
        incoming.calls[call_id] = task
        task.add_done_callback(lambda _: incoming.calls.pop(call_id, None))

    def cancel_call(self, incoming: IncomingStream, call_id: int) -> None:
        """Cancel the task of a call, or drop the body of one that has not started."""
        task = incoming.calls.get(call_id)
        if task is not None:
            task.cancel()
        else:
            incoming.transfers.release(call_id)

    async def reply(self, incoming: IncomingStream, call: Execute) -> None:
        """Run a call and send its reply with the load and the admission level."""
        held = HeldMessage(MessageKind.REQUEST)
        if len(call.body) <= SMALL_MESSAGE_BYTES:
            # Larger bodies were sent ahead and are counted since then.
            self.memory.hold(held, len(call.body))
        try:
            outcome = await self.executor.execute(call)
        except Exception as error:
            self.log.record("execute", "failed", call.request_id, problem=repr(error))
            outcome = Error(may_have_run(Reason.INTERNAL, "the node failed"))
        finally:
            # The reply may wait for its grant.
            call.body = b""
            self.memory.release(held)
            incoming.transfers.release(call.call_id)
        place = await self.send_body(incoming, call.call_id, outcome)
        if place is BodyPlace.LOST:
            self.record("closed before a response was sent")
            return
        now_ms = self.clock.now_ms()
        running = reported_calls(self.executor.state.slots, now_ms)
        level = tree_level(self.levels, call.route, self.executor.state.level.level, now_ms)
        reply = Reply(call.call_id, outcome, running, level)
        connection = incoming.connection
        has_body = place is BodyPlace.IN_FRAME
        connection.send(encode_reply(reply, connection.sent_headers, has_body))

    async def send_body(
        self, incoming: IncomingStream, call_id: int, outcome: Outcome
    ) -> BodyPlace:
        """Send the body of a large response, which is held until then, ahead of its reply."""
        if outcome.is_error() or len(outcome.ok.body) <= SMALL_MESSAGE_BYTES:
            return BodyPlace.IN_FRAME
        message = HeldMessage(MessageKind.RESPONSE)
        self.memory.hold(message, len(outcome.ok.body))
        try:
            return await incoming.transfers.send(call_id, outcome.ok.body)
        finally:
            self.memory.release(message)

    def unsent_bytes(self) -> int:
        """Return the bytes of replies that peers have not taken yet."""
        return sum(
            connection.transport.get_write_buffer_size() + incoming.transfers.unsent_bytes()
            for connection, incoming in self.streams.items()
        )

    def record(self, event: str) -> None:
        self.log.record("peer", event)

    def close(self) -> None:
        """Stop listening and close all streams after their last replies have been sent."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.streams):
            connection.finish()
