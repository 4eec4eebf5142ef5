"""Addresses of the VMs of a test fleet on loopback."""

import os
from random import Random

from attrs import frozen

from basilhill_fakes.workloads import Workload

CLIENT_PORT = 7400
PEER_PORT = 7401
ADMINISTRATION_PORT = 7402
BACKEND_PORT = 7403
CONTROL_PORT = 7404
PLATFORM_PORT = 7500
DATA_CENTRES = 3


@frozen
class Vm:
    """VM with its loopback address, service and data centre."""

    address: str
    service: str
    data_centre: str

    @property
    def node(self) -> str:
        """Return the node id, which is the address that peers connect to."""
        return f"{self.address}:{PEER_PORT}"

    @property
    def client_url(self) -> str:
        """Return the URL of the node's client listener."""
        return f"http://{self.address}:{CLIENT_PORT}"

    @property
    def administration_url(self) -> str:
        return f"http://{self.address}:{ADMINISTRATION_PORT}"

    @property
    def backend_url(self) -> str:
        return f"http://{self.address}:{BACKEND_PORT}"

    @property
    def control_url(self) -> str:
        """Return the URL of the interface by which tests control the node's network."""
        return f"http://{self.address}:{CONTROL_PORT}"


@frozen
class Topology:
    """VMs and platform address of a test fleet."""

    platform_address: str
    vms: tuple[Vm, ...]

    @property
    def platform_url(self) -> str:
        return f"http://{self.platform_address}:{PLATFORM_PORT}"

    def servers_of(self, service: str) -> list[Vm]:
        return [vm for vm in self.vms if vm.service == service]


def build_topology(workload: Workload, counts: dict[str, int] | None = None) -> Topology:
    """Return a fleet on a random loopback prefix, to avoid clashes between test processes."""
    random = Random(os.urandom(8))
    prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
    vms = []
    for service, fake in workload.services.items():
        for number in range((counts or {}).get(service, fake.servers)):
            data_centre = f"{workload.city}-{number % DATA_CENTRES + 1}"
            vms.append(Vm(f"{prefix}.{len(vms) + 2}", service, data_centre))
    return Topology(f"{prefix}.1", tuple(vms))
