"""Callers that perform customer actions."""

import asyncio
import uuid
from random import Random

import aiohttp
import orjson
from attrs import define, field

from basilhill_fakes.history import Event, EventKind, HistoryWriter, now_ms
from basilhill_fakes.topology import Topology, Vm
from basilhill_fakes.workloads import FakeCall, Workload, find_fake_call

TOKEN = "Basilhill-Token"
CLIENT_DISTANCE_MS = 1.0


@define(eq=False)
class Caller:
    """Perform customer actions and record what each caller sees."""

    workload: Workload
    topology: Topology
    history: HistoryWriter
    direct: bool = False
    distance_ms: float = 0.0
    tries: int = 4
    timeout_ms: int = 3000
    backoff_ms: int = 50
    random: Random = field(factory=Random)
    session: aiohttp.ClientSession = field(
        factory=lambda: aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    )
    token: str = ""

    async def transact(self) -> Event:
        """Perform one transaction of the workload."""
        return await self.perform(self.workload.transaction)

    async def browse(self) -> Event:
        """Perform one browse of the workload."""
        return await self.perform(self.workload.browse)

    async def perform(self, full_name: str, order: str = "") -> Event:
        """Send a call until it is answered or the tries are spent; return the last event."""
        call = find_fake_call(self.workload, full_name)
        order = order or uuid.uuid4().hex
        token, attempt = "", 0
        event = None
        tries = 0
        while tries < self.tries:
            event, fresh = await self.send(full_name, call, order, token, attempt)
            if event.status == 428:
                token, attempt = fresh, 0
                continue
            tries += 1
            if event.status == 200 or event.verdict == "answered":
                return event
            if event.verdict == "not-run":
                token, attempt = fresh, 0
            else:
                attempt += 1
            await asyncio.sleep(self.backoff_ms * self.random.uniform(0.5, 1.5) / 1000)
        return event

    def pick_server(self, service: str) -> Vm:
        """Return a random server of a service."""
        return self.random.choice(self.topology.servers_of(service))

    async def send(
        self, full_name: str, call: FakeCall, order: str, token: str, attempt: int
    ) -> tuple[Event, str]:
        """Send one copy of a call; return what came back and the fresh token."""
        service = full_name.split(".")[0]
        vm = self.pick_server(service)
        base = vm.backend_url if self.direct else f"{vm.front_url}/{service}"
        headers = {"X-Order": order, "Basilhill-Timeout-Ms": str(self.timeout_ms)}
        if token:
            headers |= {TOKEN: token, "Basilhill-Attempt": str(attempt)}
        self.write(EventKind.CALL_SENT, full_name, order, call, attempt=attempt)
        status, answer_headers, body = await self.exchange(call.method, base + call.path, headers)
        verdict = answer_headers.get("Basilhill-Verdict", "answered" if status else "")
        event = self.write(
            EventKind.ANSWER_RECEIVED,
            full_name,
            order,
            call,
            attempt=attempt,
            status=status,
            verdict=verdict,
            reason=answer_headers.get("Basilhill-Reason", ""),
            retries=int(answer_headers.get("Basilhill-Retries", "0")),
            body_order=body_order(body) if verdict == "answered" else "",
        )
        return event, answer_headers.get(TOKEN, "")

    async def exchange(
        self, method: str, url: str, headers: dict[str, str]
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request; return status 0 without a whole answer."""
        try:
            await asyncio.sleep(self.distance_ms / 1000)
            timeout = aiohttp.ClientTimeout(total=self.timeout_ms / 1000 + 0.5)
            async with self.session.request(
                method, url, headers=headers, timeout=timeout
            ) as response:
                body = await response.read()
                await asyncio.sleep(self.distance_ms / 1000)
                return response.status, response.headers, body
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, {}, b""

    def write(self, kind: EventKind, full_name: str, order: str, call: FakeCall, **fields) -> Event:
        """Record and return an event of this caller."""
        event = Event(now_ms(), kind, "caller", full_name, order, call.idempotent, **fields)
        self.history.write(event)
        return event


def body_order(body: bytes) -> str:
    """Return the order that an answer is for, empty when the answer is not whole."""
    try:
        return orjson.loads(body)["order"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return ""
