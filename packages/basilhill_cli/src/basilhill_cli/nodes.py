"""Client for the administration APIs of several nodes."""

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
# Connecting to thousands of nodes at once would exhaust the sockets of the operator's machine.
MAX_CONNECTIONS = 100


@frozen
class NodeList:
    """Administration URLs of nodes and the bearer token for them."""

    urls: tuple[str, ...]
    token: str = ""


@frozen
class NodeReport:
    """Response of one node, or the reason that it sent none."""

    url: str
    result: Result[Any, str]
    # Monotonic clock of this process, in milliseconds.
    received_ms: int = 0


def resolve_nodes(given: Iterable[str], file: Path | None) -> Result[NodeList, str]:
    """Return the nodes given on the command line and in the operators' TOML file."""
    read = read_node_list(file) if file is not None else Ok(NodeList(()))
    if read.is_error():
        return read
    urls = tuple(dict.fromkeys(node_url(node) for node in (*given, *read.ok.urls)))
    if not urls:
        return Error("no nodes given; use --node URL or --nodes FILE")
    return Ok(NodeList(urls, os.environ.get(TOKEN_VARIABLE) or read.ok.token))


def node_url(node: str) -> str:
    """Return the URL of an administration API with its scheme and without a trailing slash."""
    return (node if "://" in node else f"http://{node}").rstrip("/")


def read_node_list(file: Path) -> Result[NodeList, str]:
    """Return the nodes and the token from a TOML file, or an error text."""
    try:
        values = tomllib.loads(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Error(f"cannot read {file}: {error}")
    unknown = sorted(set(values) - {"nodes", "token"})
    if unknown:
        return Error(f"{file}: unknown key {unknown[0]}; known keys: nodes, token")
    nodes, token = values.get("nodes", []), values.get("token", "")
    if not isinstance(nodes, list) or not all(isinstance(node, str) for node in nodes):
        return Error(f"{file}: nodes must be a list of URLs, got {nodes!r:.200}")
    if not isinstance(token, str):
        return Error(f"{file}: token must be a string")
    return Ok(NodeList(tuple(nodes), token))


async def fetch_reports(nodes: NodeList, path: str) -> tuple[NodeReport, ...]:
    """Return the response of each node at a path, in the order of the nodes."""
    headers = {"Authorization": f"Bearer {nodes.token}"} if nodes.token else {}
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
    timeout = aiohttp.ClientTimeout(sock_connect=TIMEOUT_S, sock_read=TIMEOUT_S)
    async with aiohttp.ClientSession(
        headers=headers, connector=connector, timeout=timeout
    ) as session:
        return await asyncio.gather(*(fetch_report(session, url, path) for url in nodes.urls))


async def fetch_report(session: aiohttp.ClientSession, url: str, path: str) -> NodeReport:
    """Return the response of one node at a path, or the error text in its report."""
    try:
        async with session.get(url + path, allow_redirects=False) as response:
            if response.status != 200:
                text = (await response.text(errors="replace")).strip()[:200]
                return NodeReport(url, Error(f"status {response.status}: {text}"))
            body = await response.json()
            received_ms = time.monotonic_ns() // 1_000_000
            if not isinstance(body, dict):
                return NodeReport(
                    url, Error(f"expected a JSON object from a node, got {body!r:.200}")
                )
            return NodeReport(url, Ok(body), received_ms)
    except TimeoutError:
        return NodeReport(url, Error(f"no response within {TIMEOUT_S:g} s"))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return NodeReport(url, Error(f"request failed: {error}"))
