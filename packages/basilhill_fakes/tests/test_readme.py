"""Test that the test doubles start with the options documented in README.md."""

import asyncio
import re
from pathlib import Path

import orjson
from basilhill_fakes.processes import new_fleet
from basilhill_fakes.workloads import WORKLOADS

README = (Path(__file__).parents[3] / "README.md").read_text()
COMMAND = re.compile(r"python -m basilhill_fakes\.(\w+) '(.*?)' &", re.DOTALL)


async def test_test_doubles_start_with_the_documented_options(tmp_path):
    """Guard against a required option of a test double that README.md does not document."""
    fleet = new_fleet(WORKLOADS["webshop"], tmp_path, counts={"ledger": 1})
    addresses = {
        "platform": fleet.topology.platform_address,
        "backend_server": fleet.topology.servers_of("ledger")[0].address,
    }
    commands = COMMAND.findall(README)
    assert [module for module, _ in commands] == list(addresses)
    try:
        for module, text in commands:
            options = orjson.loads(text) | {"address": addresses[module]}
            if "history" in options:
                options["history"] = str(tmp_path / "ledger.jsonl")
            await fleet.start_program(module, module, options)
        await asyncio.sleep(2)
        assert {name: p.returncode for name, p in fleet.processes.items()} == dict.fromkeys(
            addresses
        )
    finally:
        await fleet.stop()
