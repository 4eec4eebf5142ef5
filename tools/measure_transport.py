"""Compare one unary gRPC call per message with messages on one open stream, over loopback."""

import statistics
import sys
import time

import uvloop
from basilhill_node.wire.peer_pb2 import Batch, Frame, Reply
from grpclib.client import Channel
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

ROUNDS = 2000
BODY = b"x" * 600
UNARY = "/trial.Peer/Unary"
STREAM = "/trial.Peer/Stream"


class EchoService:
    """gRPC service that sends each batch back."""

    async def unary(self, stream) -> None:
        await stream.send_message(await stream.recv_message())

    async def stream(self, stream) -> None:
        async for batch in stream:
            await stream.send_message(batch)

    def __mapping__(self) -> dict[str, Handler]:
        return {
            UNARY: Handler(self.unary, Cardinality.UNARY_UNARY, Batch, Batch),
            STREAM: Handler(self.stream, Cardinality.STREAM_STREAM, Batch, Batch),
        }


def build_batch(number: int) -> Batch:
    """Return a batch with one reply that has a body of 600 bytes."""
    return Batch(frames=[Frame(reply=Reply(call_id=number, body=BODY))])


async def serve(port: int) -> None:
    """Serve `EchoService` on loopback until cancelled."""
    server = Server([EchoService()])
    await server.start("127.0.0.1", port)
    await server.wait_closed()


def report(name: str, samples: list[float]) -> None:
    """Print the p50 and p99 of samples in milliseconds."""
    percentiles = statistics.quantiles(samples, n=100)
    print(
        f"{name}: p50 {percentiles[49]:.2f} ms, p99 {percentiles[98]:.2f} ms, "
        f"{len(samples)} round trips"
    )


async def measure(port: int) -> None:
    """Measure round trips of both transports, one at a time, without the first 100."""
    from grpclib.client import StreamStreamMethod, UnaryUnaryMethod

    channel = Channel("127.0.0.1", port)
    unary = UnaryUnaryMethod(channel, UNARY, Batch, Batch)
    samples = []
    for number in range(ROUNDS):
        started = time.perf_counter()
        await unary(build_batch(number))
        samples.append((time.perf_counter() - started) * 1000)
    report("unary call per message", samples[100:])
    samples = []
    async with StreamStreamMethod(channel, STREAM, Batch, Batch).open() as stream:
        for number in range(ROUNDS):
            started = time.perf_counter()
            await stream.send_message(build_batch(number))
            await stream.recv_message()
            samples.append((time.perf_counter() - started) * 1000)
        await stream.end()
    report("messages on one open stream", samples[100:])
    channel.close()


if __name__ == "__main__":
    role, port_text = sys.argv[1:3]
    uvloop.run(serve(int(port_text)) if role == "serve" else measure(int(port_text)))
