"""Demand of a workspace at the nodes of a simulated fleet, and the check of its quota."""

import asyncio
from bisect import bisect_left, bisect_right
from contextvars import copy_context
from random import Random

from attrs import define, field
from basilhill.queries.workspaces import find_quota
from basilhill.workspaces import RequestQuota, Workspace
from basilhill_node.sidecar.dialect import RequestMetadata
from basilhill_node.sidecar.messages import HttpRequest
from basilhill_node.sidecar.open_requests import OpenRequest

from basilhill_fakes.sidecar_fleet import build_tenant
from basilhill_fakes.simulated_fleet import QUOTA_BOUNDS, SimulatedFleet, SimulatedVm
from basilhill_fakes.simulated_loop import HOST

NAME = "shop"
TIMEOUT_MS = 2_000
WAIT_LIMIT_MS = 125


def limited_tenant(per_s: float, burst: float) -> dict:
    return build_tenant(NAME, "key", ratePerS=per_s, burst=burst)


@define(eq=False)
class QuotaDemand:
    """Requests of one workspace, and the times in seconds at which they ran."""

    fleet: SimulatedFleet
    random: Random
    sent: int = 0
    refused: int = 0
    ran_s: list[float] = field(factory=list)
    waited_ms: list[float] = field(factory=list)
    # Samples of the highest limit in force at any node: times, and requests allowed in a window.
    sampled_s: list[float] = field(factory=list)
    allowed: list[float] = field(factory=list)

    async def send(self, vm: SimulatedVm) -> None:
        """Let one request begin at a node; it runs at once when it is admitted."""
        if vm.node is None or vm.address in self.fleet.loop.paused:
            return
        configuration = vm.node.state.active_configuration.configuration
        quota = find_quota(configuration, NAME)
        if quota is None:
            return
        HOST.set(vm.address)
        self.sent += 1
        began_s = self.fleet.loop.time()
        opened = new_opened_request(Workspace(NAME, quota=quota), int(began_s * 1000))
        refusal = await vm.node.credits.admit(opened)
        if refusal is not None:
            self.refused += 1
            return
        self.ran_s.append(self.fleet.loop.time())
        self.waited_ms.append((self.ran_s[-1] - began_s) * 1000)

    async def run(self, vms: list[SimulatedVm], per_s: float, seconds: float) -> None:
        """Send requests at random times to the nodes in turn; admission may still be open after."""
        until_s, number = self.fleet.loop.time() + seconds, 0
        while self.fleet.loop.time() < until_s:
            await asyncio.sleep(self.random.expovariate(per_s))
            vm = vms[number % len(vms)]
            number += 1
            self.begin(vm)

    def flood(self, count: int) -> None:
        """Send requests to all nodes at the same time."""
        for vm in self.fleet.vms * count:
            self.begin(vm)

    def begin(self, vm: SimulatedVm) -> None:
        self.fleet.loop.create_task(self.send(vm), context=copy_context())
        self.sample()

    def sample(self) -> None:
        """Record the highest limit in force."""
        quotas = [
            find_quota(vm.node.state.active_configuration.configuration, NAME)
            for vm in self.fleet.vms
            if vm.node is not None
        ]
        self.sampled_s.append(self.fleet.loop.time())
        self.allowed.append(max((allowed_in_window(one) for one in quotas if one), default=0.0))

    def violations(self) -> list[str]:
        """Return the windows with more runs than the quota and its tolerance allow."""
        found, window_s = [], QUOTA_BOUNDS.window_ms / 1000
        for first, start_s in enumerate(self.ran_s):
            runs = bisect_right(self.ran_s, start_s + window_s) - first
            begin = max(0, bisect_left(self.sampled_s, start_s) - 1)
            end = bisect_right(self.sampled_s, start_s + window_s)
            allowed = max(self.allowed[begin:end], default=0.0)
            if runs > allowed:
                found.append(f"{runs} runs of {allowed:.0f} from {start_s:.2f} s")
        return found


def allowed_in_window(quota: RequestQuota) -> float:
    """Return the requests that the platform tolerates in a window."""
    bounds = QUOTA_BOUNDS
    usual = quota.per_s * bounds.window_ms / 1000 + quota.burst
    return usual * (1 + bounds.overage) + bounds.slack


def new_opened_request(workspace: Workspace, now_ms: int) -> OpenRequest:
    return OpenRequest(
        HttpRequest("GET", "/read/x"),
        RequestMetadata("id", TIMEOUT_MS, "shop.example"),
        None,
        "calendar",
        now_ms,
        now_ms + TIMEOUT_MS,
        now_ms + TIMEOUT_MS,
        0,
        0,
        False,
        WAIT_LIMIT_MS,
        1.0,
        workspace=workspace,
    )
