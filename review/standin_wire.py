"""HTTP/1.1 as the stand-ins read and write it."""

from __future__ import annotations

import asyncio

PREFIX = "X-Fuchsiacourse-"
PHRASES = {
    200: "OK",
    404: "Not Found",
    410: "Gone",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


class Message:
    """A request or an answer that has been read whole.

    Args:
        first: Words of the first line.
        headers: Values by header name in lower case.
        body: Decoded body.
    """

    def __init__(
        self, *, first: list[str], headers: dict[str, str], body: bytes
    ) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a request or an answer with its body.

    Raises:
        EOFError: The connection ended before the message was complete.
        OSError: The connection was reset.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first=lines[0].split(" ", 2), headers=headers, body=body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        line = await reader.readline()
        if not line:
            raise EOFError
        size = int(line.split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])


def answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Returns the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {PHRASES.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request(
    method: str,
    path: str,
    host: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
