"""Requests of client connections with their responses, and the memory that they take."""

import asyncio

from attrs import define, field
from basilhill.memory import HeldMessage, MessageKind

from basilhill_node.sidecar.messages import HttpRequest, HttpResponse


def new_held_request() -> HeldMessage:
    return HeldMessage(MessageKind.REQUEST)


def new_held_response() -> HeldMessage:
    return HeldMessage(MessageKind.RESPONSE)


@define(eq=False)
class Exchange:
    """Request of a connection with its response.

    A pipelined request behind others is served by its own task, a single one by the task of its
    connection.
    """

    bodiless: bool
    keep_alive: bool
    request: HttpRequest | None = None
    task: asyncio.Task | None = None
    response: HttpResponse | None = None
    held_request: HeldMessage = field(factory=new_held_request)
    held_response: HeldMessage = field(factory=new_held_response)
