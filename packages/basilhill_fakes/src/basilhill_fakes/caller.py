"""Callers that perform customer actions."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Mapping
from random import Random

import aiohttp
import orjson
from attrs import define, evolve, field, frozen

from basilhill_fakes.history import Event, EventKind, HistoryWriter, now_ms
from basilhill_fakes.topology import Topology, Vm
from basilhill_fakes.workloads import FakeCall, Workload, find_fake_call

TOKEN = "Basilhill-Token"
CLIENT_DISTANCE_MS = 1.0
# Half of the shortest time for which a test configures tokens to be valid.
TOKEN_AGE_MS = 30_000
TOKENS_KEPT = 500
NOT_SENT = -1


@frozen
class HeldToken:
    """Hold a token that an answer carried."""

    text: str
    received_ms: float


@frozen
class Copy:
    """Describe one copy of a call that a caller sends."""

    full_name: str
    call: FakeCall
    order: str
    round: int = 0
    attempt: int = 0
    token: str = ""
    vm: Vm | None = None


@define(eq=False)
class Caller:
    """Perform customer actions and record what each caller sees.

    With a patience, a caller that has waited so long sends another copy of the same token
    through another node and takes the first answer.
    """

    workload: Workload
    topology: Topology
    history: HistoryWriter
    direct: bool = False
    distance_ms: float = 0.0
    tries: int = 4
    timeout_ms: int = 3000
    backoff_ms: int = 50
    patience_ms: int | None = None
    place: str = "caller"
    random: Random = field(factory=Random)
    session: aiohttp.ClientSession = field(
        factory=lambda: aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    )
    tokens: dict[str, deque[HeldToken]] = field(
        factory=lambda: defaultdict(lambda: deque(maxlen=TOKENS_KEPT))
    )
    copies: set[asyncio.Task] = field(factory=set)
    customer: str = ""

    async def transact(self) -> Event:
        """Perform one transaction of the workload."""
        return await self.perform(self.workload.transaction)

    async def browse(self) -> Event:
        """Perform one browse of the workload."""
        return await self.perform(self.workload.browse)

    async def perform(self, full_name: str, order: str = "", round_: int = 0) -> Event:
        """Send a call until it is answered or the tries are spent; return the last event."""
        call = find_fake_call(self.workload, full_name)
        copy = self.with_token(
            Copy(full_name, call, order or f"{self.random.getrandbits(64):016x}", round_)
        )
        tries = 0
        while True:
            event = await self.send_patiently(copy)
            tries += event.status != 428 or copy.token != ""
            if event.status == 200 or tries >= self.tries:
                return event
            copy = self.next_copy(copy, event)
            if event.status != 428:
                await asyncio.sleep(self.backoff_ms * self.random.uniform(0.5, 1.5) / 1000)

    def next_copy(self, copy: Copy, event: Event) -> Copy:
        """Return the copy to send after one that was not answered with success."""
        if event.status == NOT_SENT:
            return evolve(copy, attempt=event.attempt, vm=None)
        if copy.call.idempotent:
            return evolve(copy, round=copy.round + 1, attempt=event.attempt + 1, vm=None)
        if self.direct or event.verdict not in ("not-run", "answered"):
            return evolve(copy, attempt=event.attempt + 1, vm=None)
        return self.with_token(evolve(copy, round=copy.round + 1, attempt=0, token="", vm=None))

    def with_token(self, copy: Copy) -> Copy:
        """Return a first copy of a round with a token that an earlier answer carried, if any."""
        if copy.call.idempotent or self.direct:
            return copy
        servers = self.topology.servers_of(copy.full_name.split(".")[0])
        for vm in self.random.sample(servers, len(servers)):
            held = self.tokens[vm.address]
            while held:
                token = held.popleft()
                if now_ms() - token.received_ms < TOKEN_AGE_MS:
                    return evolve(copy, token=token.text, vm=vm)
        return copy

    def pick_server(self, full_name: str) -> Vm:
        """Return a random server of the service of a call."""
        return self.random.choice(self.topology.servers_of(full_name.split(".")[0]))

    async def send_patiently(self, copy: Copy) -> Event:
        """Send a copy, and another one when the answer takes long; return the first answer."""
        if self.patience_ms is None or copy.call.idempotent:
            return await self.send(copy)
        first = self.start_copy(copy)
        done, _ = await asyncio.wait({first}, timeout=self.patience_ms / 1000)
        if done:
            return first.result()
        second = self.start_copy(evolve(copy, attempt=copy.attempt + 1, vm=None))
        done, pending = await asyncio.wait({first, second}, return_when=asyncio.FIRST_COMPLETED)
        earlier = done.pop().result()
        if earlier.status == 200 or not pending:
            return earlier
        later = await pending.pop()
        return max(earlier, later, key=answer_rank)

    def start_copy(self, copy: Copy) -> asyncio.Task:
        """Send a copy as a task of its own."""
        task = asyncio.get_running_loop().create_task(self.send(copy))
        self.copies.add(task)
        task.add_done_callback(self.copies.discard)
        return task

    async def send(self, copy: Copy) -> Event:
        """Send one copy of a call, keep the fresh token and return what came back."""
        service = copy.full_name.split(".")[0]
        vm = copy.vm or self.pick_server(copy.full_name)
        base = vm.backend_url if self.direct else f"{vm.front_url}/{service}"
        headers = {
            "X-Order": copy.order,
            "X-Token-Round": str(copy.round),
            "Basilhill-Customer": self.customer or copy.order,
            "Basilhill-Timeout-Ms": str(self.timeout_ms),
            "Basilhill-Attempt": str(copy.attempt),
        }
        if copy.token:
            headers[TOKEN] = copy.token
        self.write(EventKind.CALL_SENT, copy)
        url = base + copy.call.path
        status, answer_headers, body = await self.exchange(copy.call.method, url, headers)
        if TOKEN in answer_headers:
            self.tokens[vm.address].append(HeldToken(answer_headers[TOKEN], now_ms()))
        return self.write_answer(copy, status, answer_headers, body)

    async def exchange(
        self, method: str, url: str, headers: dict[str, str]
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Send a request; return status 0 without a whole answer, -1 when nothing was sent."""
        try:
            await asyncio.sleep(self.distance_ms / 1000)
            timeout = aiohttp.ClientTimeout(total=self.timeout_ms / 1000 + 0.5)
            async with self.session.request(
                method, url, headers=headers, timeout=timeout
            ) as response:
                body = await response.read()
                await asyncio.sleep(self.distance_ms / 1000)
                return response.status, response.headers, body
        except aiohttp.ClientConnectorError:
            return NOT_SENT, {}, b""
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, {}, b""

    def write_answer(
        self, copy: Copy, status: int, headers: Mapping[str, str], body: bytes
    ) -> Event:
        """Record and return what came back for a copy."""
        verdict = headers.get("Basilhill-Verdict", "answered" if status > 0 else "")
        order, round_ = body_marks(body, copy.full_name) if verdict == "answered" else ("", 0)
        return self.write(
            EventKind.ANSWER_RECEIVED,
            copy,
            status=status,
            verdict=verdict,
            reason=headers.get("Basilhill-Reason", ""),
            retries=int(headers.get("Basilhill-Retries", "0")),
            body_order=order,
            body_round=round_,
        )

    def write(self, kind: EventKind, copy: Copy, **fields) -> Event:
        """Record and return an event of this caller."""
        event = Event(
            now_ms(),
            kind,
            self.place,
            copy.full_name,
            copy.order,
            copy.call.idempotent,
            copy.round,
            copy.attempt,
            **fields,
        )
        self.history.write(event)
        return event


def answer_rank(event: Event) -> tuple[bool, bool, int]:
    """Rank the answers to two copies of a token: a refusal as not run holds for both."""
    return event.status == 200, event.verdict == "not-run", event.attempt


def body_marks(body: bytes, full_name: str) -> tuple[str, int]:
    """Return the order and round that an answer is for, empty for another call or in parts."""
    try:
        answer = orjson.loads(body)
        return (answer["order"], answer["round"]) if answer["call"] == full_name else ("", 0)
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return "", 0
