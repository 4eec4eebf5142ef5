"""OpenAPI 3 description of the administration API."""

from typing import Any

VERSION = "0.1.0"

OPERATIONS = {
    "/status": (
        "State of the node: level, load, sections in force and refused",
        "application/json",
    ),
    "/outcomes": ("Outcomes per kind of customer action since the start", "application/json"),
    "/decisions/{action}": ("Decisions kept for one action", "application/json"),
    "/configuration": ("Sections in force and refused, with their text", "application/json"),
    "/metrics": ("Metrics in the Prometheus exposition format", "text/plain"),
    "/openapi.json": ("This description", "application/json"),
    "/healthz": ("Whether the process runs", "text/plain"),
    "/readyz": ("Whether the node can serve calls", "text/plain"),
}
OPEN_PATHS = frozenset({"/healthz", "/readyz"})

PARAMETERS = {
    "/outcomes": [("service", "query", "Only actions that start at this service")],
    "/decisions/{action}": [("action", "path", "Value of the Basilhill-Action header")],
}


def openapi() -> dict[str, Any]:
    return {
        "openapi": "3.0.3",
        "info": {"title": "basilhill administration", "version": VERSION},
        "paths": {path: {"get": operation(path)} for path in OPERATIONS},
        "components": {"securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}}},
    }


def operation(path: str) -> dict[str, Any]:
    """Return the operation object of one path."""
    summary, media_type = OPERATIONS[path]
    responses = {"200": {"description": summary, "content": {media_type: {}}}}
    if path == "/readyz":
        responses["503"] = {"description": "The node cannot serve calls"}
    if path not in OPEN_PATHS:
        responses["401"] = {"description": "The bearer token is missing or wrong"}
    return {
        "summary": summary,
        "parameters": [
            {
                "name": name,
                "in": place,
                "required": place == "path",
                "description": text,
                "schema": {"type": "string"},
            }
            for name, place, text in PARAMETERS.get(path, [])
        ],
        "responses": responses,
        "security": [] if path in OPEN_PATHS else [{"bearer": []}],
    }
