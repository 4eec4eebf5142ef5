"""Tests that malformed and hostile input at the peer port does not stop a node."""

import asyncio
import struct
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest
import pytest_asyncio
from basilhill_fakes.processes import new_fleet
from basilhill_fakes.queries.processes import resident_mb
from basilhill_fakes.topology import PEER_PORT
from basilhill_fakes.workloads import WORKLOADS
from basilhill_node.wire import peer_pb2 as wire
from basilhill_node.wire.peer_grpc import PeerStub
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from h2.exceptions import StreamClosedError

ROOT = Path(__file__).parents[3]
BODY_LIMIT = 20_000
REPLY_TIMEOUT_S = 5.0

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def fleet(tmp_path_factory):
    workload = WORKLOADS["webshop"]
    counts = {"catalogue": 0, "checkout": 0, "warehouse": 1, "ledger": 0}
    directory = tmp_path_factory.mktemp("fleet")
    fleet = new_fleet(workload, directory, counts=counts, settings={"body_limit": BODY_LIMIT})
    try:
        await fleet.start((ROOT / workload.document).read_text())
        yield fleet
    finally:
        await fleet.stop()


@asynccontextmanager
async def open_stream(fleet):
    """Open a peer stream to the node and send the initial hello frame."""
    channel = Channel(fleet.topology.vms[0].address, PEER_PORT)
    try:
        async with PeerStub(channel).Exchange.open() as stream:
            await stream.send_request()
            hello = wire.Hello(node="127.0.0.1:9", incarnation="ab", service="warehouse")
            await stream.send_message(wire.Batch(frames=[wire.Frame(hello=hello)]))
            yield stream
            await stream.cancel()
    finally:
        channel.close()


async def receive_reply(stream, call_id):
    """Return the reply to a call, or None if the stream ends without one."""
    async with asyncio.timeout(REPLY_TIMEOUT_S):
        async for batch in stream:
            for frame in batch.frames:
                if frame.WhichOneof("body") == "reply" and frame.reply.call_id == call_id:
                    return frame.reply
    return None


async def receive_end(stream):
    """Read a stream until it ends; raise the error that the node sends as its status."""
    async with asyncio.timeout(REPLY_TIMEOUT_S):
        async for _ in stream:
            pass
        with suppress(StreamClosedError, StreamTerminatedError):
            await stream.end()
        await stream.recv_trailing_metadata()


def build_execute_frame(call_id, priority_class=0):
    """Return an execute frame for an idempotent call."""
    context = wire.Context(
        action_id="a", priority_class=priority_class, remaining_ms=5_000, retry_allotment=0
    )
    request = wire.Request(service="warehouse", method="GET", path="/stock")
    return wire.Frame(execute=wire.Execute(call_id=call_id, context=context, request=request))


async def assert_serves(fleet):
    async with open_stream(fleet) as stream:
        await stream.send_message(wire.Batch(frames=[build_execute_frame(1)]))
        assert (await receive_reply(stream, 1)).status == 200
    for _ in range(100):
        status = await fleet.get(f"{fleet.topology.vms[0].administration_url}/status")
        if not status["open_calls"]:
            return
        await asyncio.sleep(0.05)
    pytest.fail(f"open_calls did not return to 0 within 5 s: {status['open_calls']} open")


def read_log(fleet):
    return (fleet.directory / f"node-{fleet.topology.vms[0].address}.log").read_text()


# Frames whose reply is a refusal, with its verdict field (1 not run, 2 may have run) and reason.
REFUSED_FRAMES = {
    "unknown class": (build_execute_frame(7, priority_class=99), 2, "internal"),
    "no request": (wire.Frame(execute=wire.Execute(call_id=7)), 1, "unknown-call"),
    "no token": (wire.Frame(coordinate=wire.Coordinate(call_id=7)), 1, "malformed"),
    "undecodable token": (
        wire.Frame(coordinate=wire.Coordinate(call_id=7, token="\u20ac" * 900)), 1, "malformed",
    ),
    "unknown reason": (
        wire.Frame(reject=wire.Reject(call_id=7, token="MS4xOjEvYS8xLzEvYWI=", reason="?")),
        2,
        "internal",
    ),
    "no key": (wire.Frame(revoke=wire.Revoke(call_id=7, age_ms=-(2**62))), 1, "rejected"),
}  # fmt: skip


@pytest.mark.parametrize("case", REFUSED_FRAMES)
async def test_malformed_call_is_refused_and_its_stream_stays_open(fleet, case):
    """Guard against a call without a reply and against a task that ends with an error."""
    frame, verdict, reason = REFUSED_FRAMES[case]
    async with open_stream(fleet) as stream:
        await stream.send_message(wire.Batch(frames=[frame, build_execute_frame(8)]))
        replies = [await receive_reply(stream, 7)]
        if replies[0] is None:
            pytest.fail("the stream ended without a reply to call 7")
        await stream.send_message(wire.Batch(frames=[build_execute_frame(9)]))
        replies.append(await receive_reply(stream, 9))
    assert (replies[0].verdict, replies[0].reason) == (verdict, reason)
    assert replies[1].status == 200
    await assert_serves(fleet)
    assert "exception was never retrieved" not in read_log(fleet)


SECTION = wire.Section(team="x", revision=1, text=b"\xff")
MALFORMED_MESSAGES = {
    "section that is not UTF-8": (wire.Sections(sections=[SECTION]), "sections frame"),
    "length": (struct.pack(">?I", False, 4_000_000_000), "4000000000 bytes"),
    "compression": (struct.pack(">?I", True, 4), "compressed"),
    "no message": (struct.pack(">?I", False, 4) + b"\xff" * 4, "not of this protocol"),
    "call id in use": (build_execute_frame(7), "call id 7 is in use"),
}


@pytest.mark.parametrize("case", MALFORMED_MESSAGES)
async def test_malformed_message_ends_only_its_own_stream_with_a_reason(fleet, case):
    """Guard against a peer that stops the node or other streams, or exhausts its memory."""
    sent, reason = MALFORMED_MESSAGES[case]
    pid = fleet.processes[f"node-{fleet.topology.vms[0].address}"].pid
    before = resident_mb(pid)
    async with open_stream(fleet) as other:
        with pytest.raises(GRPCError) as ended:
            async with open_stream(fleet) as stream:
                if isinstance(sent, bytes):
                    await stream._stream.send_data(sent)
                    # The node closes the stream, or flow control blocks the data it does not read.
                    with suppress(TimeoutError, StreamClosedError, StreamTerminatedError):
                        async with asyncio.timeout(0.5):
                            await stream._stream.send_data(b"\x00" * 60_000_000)
                elif isinstance(sent, wire.Frame):
                    await stream.send_message(wire.Batch(frames=[sent, sent]))
                else:
                    frame = wire.Frame(sections=sent)
                    await stream.send_message(wire.Batch(frames=[frame]))
                await receive_end(stream)
        await other.send_message(wire.Batch(frames=[build_execute_frame(5)]))
        assert (await receive_reply(other, 5)).status == 200
    assert ended.value.status is Status.INVALID_ARGUMENT
    assert reason in ended.value.message
    assert resident_mb(pid) - before < 20
    await assert_serves(fleet)
    # The node writes log lines in batches, with a short delay.
    await asyncio.sleep(0.2)
    assert reason in read_log(fleet)


async def test_flood_of_frames_on_one_stream_does_not_block_another(fleet):
    """Guard against a peer with a full socket buffer that blocks the event loop for all others."""
    frame = wire.Frame(cancel=wire.Cancel(call_id=1))
    flood = wire.Batch(frames=[frame] * 300_000)
    async with open_stream(fleet) as hostile, open_stream(fleet) as other:
        await hostile.send_message(flood)
        started = asyncio.get_running_loop().time()
        await other.send_message(wire.Batch(frames=[build_execute_frame(5)]))
        assert (await receive_reply(other, 5)).status == 200
        assert asyncio.get_running_loop().time() - started < 0.5
    await assert_serves(fleet)
