"""Callers that perform customer actions through nodes or directly at servers."""

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
# Half of the shortest token lifetime that a test configures.
MAX_TOKEN_AGE_MS = 30_000
MAX_CACHED_TOKENS = 500
NOT_SENT = -1


@frozen
class CachedToken:
    """Token that a response carried, with the time of its arrival."""

    text: str
    received_ms: float


@frozen
class CallAttempt:
    """One attempt of a call; attempts of the same round share a token."""

    full_name: str
    call: FakeCall
    order: str
    round: int = 0
    attempt: int = 0
    token: str = ""
    vm: Vm | None = None


@define(eq=False)
class Caller:
    """Caller that performs customer actions and records each request and response.

    With `patience_ms`, a caller sends a second attempt with the same token through another node
    after this client timeout and uses the first response.
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
    tokens: dict[str, deque[CachedToken]] = field(
        factory=lambda: defaultdict(lambda: deque(maxlen=MAX_CACHED_TOKENS))
    )
    attempt_tasks: set[asyncio.Task] = field(factory=set)
    customer: str = ""

    async def transact(self) -> Event:
        return await self.perform(self.workload.transaction)

    async def browse(self) -> Event:
        return await self.perform(self.workload.browse)

    async def perform(self, full_name: str, order: str = "", round_: int = 0) -> Event:
        """Send a call until it succeeds or the tries are used up; return the last event."""
        call = find_fake_call(self.workload, full_name)
        request = self.with_token(
            CallAttempt(full_name, call, order or f"{self.random.getrandbits(64):016x}", round_)
        )
        tries = 0
        while True:
            event = await self.send_with_repeat(request)
            tries += event.status != 428 or request.token != ""
            if event.status == 200 or tries >= self.tries:
                return event
            request = self.next_request(request, event)
            if event.status != 428:
                await asyncio.sleep(self.backoff_ms * self.random.uniform(0.5, 1.5) / 1000)

    def next_request(self, request: CallAttempt, event: Event) -> CallAttempt:
        """Return the next request to send after one that did not succeed."""
        if event.status == NOT_SENT:
            return evolve(request, attempt=event.attempt, vm=None)
        if request.call.idempotent:
            return evolve(request, round=request.round + 1, attempt=event.attempt + 1, vm=None)
        if self.direct or event.verdict not in ("not-run", "answered"):
            return evolve(request, attempt=event.attempt + 1, vm=None)
        return self.with_token(
            evolve(request, round=request.round + 1, attempt=0, token="", vm=None)
        )

    def with_token(self, request: CallAttempt) -> CallAttempt:
        """Return the first request of a round, with a cached token if there is one."""
        if request.call.idempotent or self.direct:
            return request
        servers = self.topology.servers_of(request.full_name.split(".")[0])
        for vm in self.random.sample(servers, len(servers)):
            cached = self.tokens[vm.address]
            while cached:
                token = cached.popleft()
                if now_ms() - token.received_ms < MAX_TOKEN_AGE_MS:
                    return evolve(request, token=token.text, vm=vm)
        return request

    def pick_server(self, full_name: str) -> Vm:
        """Return a random VM of the service of a call."""
        return self.random.choice(self.topology.servers_of(full_name.split(".")[0]))

    async def send_with_repeat(self, request: CallAttempt) -> Event:
        """Send a request, and a second attempt after the client timeout.

        Return the first success, otherwise the response that ranks higher.
        """
        if self.patience_ms is None or request.call.idempotent:
            return await self.send(request)
        first = self.start_request(request)
        done, _ = await asyncio.wait({first}, timeout=self.patience_ms / 1000)
        if done:
            return first.result()
        second = self.start_request(evolve(request, attempt=request.attempt + 1, vm=None))
        done, pending = await asyncio.wait({first, second}, return_when=asyncio.FIRST_COMPLETED)
        first_event = done.pop().result()
        if first_event.status == 200 or not pending:
            return first_event
        second_event = await pending.pop()
        return max(first_event, second_event, key=rank_response)

    def start_request(self, request: CallAttempt) -> asyncio.Task:
        """Send a request in a separate task."""
        task = asyncio.get_running_loop().create_task(self.send(request))
        self.attempt_tasks.add(task)
        task.add_done_callback(self.attempt_tasks.discard)
        return task

    async def send(self, request: CallAttempt) -> Event:
        """Send one request, cache a new token and return the recorded response."""
        service = request.full_name.split(".")[0]
        vm = request.vm or self.pick_server(request.full_name)
        base = vm.backend_url if self.direct else f"{vm.client_url}/{service}"
        headers = {
            "X-Order": request.order,
            "X-Token-Round": str(request.round),
            "Basilhill-Customer": self.customer or request.order,
            "Basilhill-Timeout-Ms": str(self.timeout_ms),
            "Basilhill-Attempt": str(request.attempt),
        }
        if request.token:
            headers[TOKEN] = request.token
        self.record(EventKind.CALL_SENT, request)
        url = base + request.call.path
        status, response_headers, body = await self.exchange(request.call.method, url, headers)
        if TOKEN in response_headers:
            self.tokens[vm.address].append(CachedToken(response_headers[TOKEN], now_ms()))
        return self.record_response(request, status, response_headers, body)

    async def exchange(
        self, method: str, url: str, headers: dict[str, str]
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Send a request; return status 0 without a complete response, -1 if nothing was sent."""
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

    def record_response(
        self, request: CallAttempt, status: int, headers: Mapping[str, str], body: bytes
    ) -> Event:
        """Record the response to a request and return its event."""
        verdict = headers.get("Basilhill-Verdict", "answered" if status > 0 else "")
        order, round_ = (
            parse_body_ids(body, request.full_name) if verdict == "answered" else ("", 0)
        )
        return self.record(
            EventKind.ANSWER_RECEIVED,
            request,
            status=status,
            verdict=verdict,
            reason=headers.get("Basilhill-Reason", ""),
            retries=int(headers.get("Basilhill-Retries", "0")),
            body_order=order,
            body_round=round_,
        )

    def record(self, kind: EventKind, request: CallAttempt, **fields) -> Event:
        event = Event(
            now_ms(),
            kind,
            self.place,
            request.full_name,
            request.order,
            request.call.idempotent,
            request.round,
            request.attempt,
            **fields,
        )
        self.history.write(event)
        return event


def rank_response(event: Event) -> tuple[bool, bool, int]:
    """Return the rank of a response among those of one token.

    Success ranks first. A refusal as not run ranks next because it is valid for all attempts.
    """
    return event.status == 200, event.verdict == "not-run", event.attempt


def parse_body_ids(body: bytes, full_name: str) -> tuple[str, int]:
    """Return the order and round in a response body.

    Both are empty if the body is truncated or belongs to another call.
    """
    try:
        answer = orjson.loads(body)
        return (answer["order"], answer["round"]) if answer["call"] == full_name else ("", 0)
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return "", 0
