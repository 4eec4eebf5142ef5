"""Ask the administration APIs of several nodes at the same time."""

import asyncio
import os
import time
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import aiohttp
from attrs import frozen
from expression import Error, Ok, Result

TOKEN_VARIABLE = "BASILHILL_ADMINISTRATION_TOKEN"
TIMEOUT_S = 5.0
# Asking thousands of nodes at once would exhaust the sockets of the operator's machine.
CONCURRENCY = 100


@frozen
class NodeList:
    """Hold the administration URLs to ask and the bearer token for them."""

    urls: tuple[str, ...]
    token: str = ""


@frozen
class NodeReport:
    """Hold what one node answered, or why it did not."""

    url: str
    answer: Result[Any, str]
    # On the clock of this process, in milliseconds.
    received_ms: int = 0


def node_list(given: Iterable[str], file: Path | None) -> Result[NodeList, str]:
    """Return the nodes named on the command line and in the operators' TOML file."""
    read = read_nodes(file) if file is not None else Ok(NodeList(()))
    if read.is_error():
        return read
    urls = tuple(dict.fromkeys(node_url(node) for node in (*given, *read.ok.urls)))
    if not urls:
        return Error("name nodes with --node URL or --nodes FILE")
    return Ok(NodeList(urls, os.environ.get(TOKEN_VARIABLE) or read.ok.token))


def node_url(node: str) -> str:
    """Return the URL of an administration API without a final slash."""
    return (node if "://" in node else f"http://{node}").rstrip("/")


def read_nodes(file: Path) -> Result[NodeList, str]:
    """Return the nodes and the token of a TOML file."""
    try:
        values = tomllib.loads(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Error(f"cannot read {file}: {error}")
    unknown = sorted(set(values) - {"nodes", "token"})
    if unknown:
        return Error(f"{file}: unknown key {unknown[0]}; known keys: nodes, token")
    nodes, token = values.get("nodes", []), values.get("token", "")
    if not isinstance(nodes, list) or not all(isinstance(node, str) for node in nodes):
        return Error(f"{file}: nodes is a list of URLs")
    if not isinstance(token, str):
        return Error(f"{file}: token is a text")
    return Ok(NodeList(tuple(nodes), token))


async def ask_nodes(nodes: NodeList, path: str) -> tuple[NodeReport, ...]:
    """Return what each node answers at a path, in the order of the nodes."""
    headers = {"Authorization": f"Bearer {nodes.token}"} if nodes.token else {}
    connector = aiohttp.TCPConnector(limit=CONCURRENCY)
    timeout = aiohttp.ClientTimeout(sock_connect=TIMEOUT_S, sock_read=TIMEOUT_S)
    async with aiohttp.ClientSession(
        headers=headers, connector=connector, timeout=timeout
    ) as session:
        return await asyncio.gather(*(ask_node(session, url, path) for url in nodes.urls))


async def ask_node(session: aiohttp.ClientSession, url: str, path: str) -> NodeReport:
    """Return what one node answers at a path."""
    try:
        async with session.get(url + path, allow_redirects=False) as response:
            if response.status != 200:
                text = (await response.text(errors="replace")).strip()[:200]
                return NodeReport(url, Error(f"status {response.status}: {text}"))
            answer = await response.json()
            received_ms = time.monotonic_ns() // 1_000_000
            if not isinstance(answer, dict):
                return NodeReport(url, Error("the answer is not from a node"))
            return NodeReport(url, Ok(answer), received_ms)
    except TimeoutError:
        return NodeReport(url, Error(f"no answer within {TIMEOUT_S:g} s"))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return NodeReport(url, Error(f"not reachable: {error}"))
