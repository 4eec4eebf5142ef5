"""Responses of backend servers that are not HTTP/1.1, each correct in everything else."""

from basilhill_fakes.raw_server import BODY, raw_response

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
CHUNKED = "Transfer-Encoding: chunked"
CHUNKS = b"3\r\nabc\r\n0\r\n\r\n"
# Characters that are not allowed in the name of a header (RFC 9110, section 5.6.2).
NAME_CHARACTERS = {
    "blank": " ",
    "tab": "\t",
    "zero byte": "\0",
    "control character": "\x01",
    "line feed": "\n",
    "carriage return": "\r",
    "escape": "\x1b",
    "delete": "\x7f",
    "byte beyond ASCII": "\xe9",
    "parenthesis": "(",
    "quote": '"',
    "slash": "/",
    "at sign": "@",
    "brace": "{",
}


def malformed_names(attempt: str) -> dict[str, bytes]:
    """Return responses to an attempt, by form, with a header name that is no token."""
    found = {"no name": raw_response(attempt, ": c"), "no colon": raw_response(attempt, "Abc")}
    for form, character in NAME_CHARACTERS.items():
        found[f"{form} in a name"] = raw_response(attempt, f"A{character}b: c")
        found[f"{form} after a name"] = raw_response(attempt, f"Ab{character}: c")
        found[f"{form} before the first name"] = raw_response(attempt, f"{character}Ab: c")
        found[f"{form} before a later name"] = raw_response(attempt, "A: b", f"{character}Cd: e")
        found[f"{form} after a length"] = raw_response(attempt, f"Content-Length{character}: 3")
        found[f"{form} after a coding"] = raw_response(
            attempt, f"Transfer-Encoding{character}: chunked", body=CHUNKS
        )
        found[f"{form} before a coding"] = raw_response(
            attempt, f"{character}{CHUNKED}", framing="A: b", body=CHUNKS
        )
    return found


def malformed_values(attempt: str) -> dict[str, bytes]:
    """Return responses to an attempt, by form, with a control character in a value."""
    found = {
        f"{form} in a value": raw_response(attempt, f"A: b{NAME_CHARACTERS[form]}c")
        for form in ("zero byte", "control character", "carriage return", "escape", "delete")
    }
    return found | {
        "control character after a coding": raw_response(
            attempt, framing=CHUNKED + "\x01", body=CHUNKS
        )
    }


def malformed_lengths(attempt: str) -> dict[str, bytes]:
    """Return responses to an attempt, by form, whose length is ambiguous or no number."""
    size = len(BODY)
    lengths = ("+5", "-5", "0x5", "5, 5", "5 5", "five", "")
    found = {
        f"length {text!r}": raw_response(attempt, framing=f"Content-Length: {text}")
        for text in lengths
    }
    chunk_sizes = (b"+5", b"-5", b"0x5", b" 5", b"")
    found |= {
        f"chunk size {text!r}": raw_response(
            attempt, framing=CHUNKED, body=text + b"\r\n" + BODY + b"\r\n0\r\n\r\n"
        )
        for text in chunk_sizes
    }
    return found | {
        "two lengths": raw_response(attempt, "Content-Length: 3"),
        "length and chunks": raw_response(attempt, CHUNKED),
        "chunks and length": raw_response(
            attempt, f"Content-Length: {size}", framing=CHUNKED, body=CHUNKS
        ),
    }


def unknown_codings(attempt: str) -> dict[str, bytes]:
    """Return responses to an attempt, by form, with other transfer codings than one of chunks."""
    codings = (
        "gzip", "identity", "xchunked", "chunked;q=1", "gzip, chunked", "chunked, gzip",
        "chunked, chunked", "gzip\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding: chunked",
    )  # fmt: skip
    return {
        f"coding {coding!r}": raw_response(
            attempt, framing=f"Transfer-Encoding: {coding}", body=CHUNKS
        )
        for coding in codings
    }


def malformed_status_lines(attempt: str) -> dict[str, bytes]:
    """Return responses to an attempt, by form, whose status line does not begin as in HTTP/1.1."""
    starts = ("HTTP/0.9", "HTTP/2.0", "HTTP/3.0", "HTTP/2", "HTTP/11.1", "http/1.1", "ICY", "")
    return {
        f"status line {start!r}": raw_response(attempt, status_line=f"{start} 200 OK")
        for start in starts
    }


def malformed_responses(attempt: str) -> dict[str, bytes]:
    """Return all malformed responses to an attempt, by form."""
    found = malformed_names(attempt) | malformed_values(attempt) | malformed_lengths(attempt)
    found |= unknown_codings(attempt) | malformed_status_lines(attempt)
    return found | {f"interim, {form}": INTERIM + found[form] for form in malformed_names(attempt)}
