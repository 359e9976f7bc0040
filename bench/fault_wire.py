"""Encodes the requests of the fault soak and reads HTTP messages."""

from __future__ import annotations

import asyncio
import enum

# Bytes per write of a request that is written in small pieces.
PIECE_BYTES = 23
# Minimum size of a chunk in bytes, small enough for several chunks in a
# short body.
CHUNK_BYTES = 4
# Size above which the body of an answer is an error; answers of healthy
# targets are shorter.
MAX_ANSWER_BYTES = 4_000_000
# Number of writes of a body that is sent with pauses, and bytes that a slow
# reader reads at a time.
PAUSED_PIECES = 10
SLOW_READ_BYTES = 16_384
_FIRST_FINAL = 200
_CRLF = b"\r\n"

Fields = dict[str, str]


class Form(enum.Enum):
    """Encoding of a valid request."""

    PLAIN = "plain"
    UPGRADE = "upgrade"
    ABSOLUTE = "absolute"
    HOST = "host"
    LONG = "long"
    CHUNKED = "chunked"
    EXPECT = "expect"
    PIECES = "pieces"
    # Bodies that are sent with pauses, in chunks or with a length.
    PAUSED = "chunks with pauses"
    STREAMED = "streamed"


def path_of(form: Form, path: str, max_head_bytes: int) -> str:
    """Returns the path of a request in a form.

    Args:
        form: Form of the request.
        path: Path without padding.
        max_head_bytes: Limit of the head; a path of ``Form.LONG`` is padded
            to half of it.
    """
    if form is not Form.LONG:
        return path
    return path + "/" + "p" * (max_head_bytes // 2 - len(path) - 1)


def pieces_of(
    form: Form,
    *,
    path: str,
    host: str,
    fields: Fields,
    body: bytes,
    max_head_bytes: int,
) -> list[bytes]:
    """Returns the bytes of a POST request in pieces, one per write.

    Args:
        form: Form of the request.
        path: Path of the request.
        host: Host of the route.
        fields: Header fields of every form.
        body: Body of the request.
        max_head_bytes: Limit of the header fields, which a request of
            ``Form.LONG`` reaches.
    """
    target = f"http://{host}{path}" if form is Form.ABSOLUTE else path
    lines = dict(fields)
    lines["Host"] = f"{host.upper()}:8100" if form is Form.HOST else host
    if form in (Form.CHUNKED, Form.PAUSED):
        lines["Transfer-Encoding"] = "chunked"
    else:
        lines["Content-Length"] = str(len(body))
    if form is Form.UPGRADE:
        lines["Connection"] = "Upgrade, HTTP2-Settings"
        lines["Upgrade"] = "h2c"
        lines["HTTP2-Settings"] = "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA"
    if form is Form.EXPECT:
        lines["Expect"] = "100-continue"
    if form is Form.LONG:
        # Each header field has 4 bytes besides its name and value: a colon, a
        # space and CRLF; the name X-Filler has 8.
        used = sum(len(name) + len(lines[name]) + 4 for name in lines)
        lines["X-Filler"] = "f" * (max_head_bytes - used - 12)
    head = f"POST {target} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in lines.items()
    )
    data = head.encode() + _CRLF
    if form is Form.EXPECT:
        return [data, body]
    if form is Form.PAUSED:
        return [data, *_chunks(body)]
    if form is Form.STREAMED:
        step = max(1, len(body) // PAUSED_PIECES)
        return [
            data,
            *(body[at : at + step] for at in range(0, len(body), step)),
        ]
    data += _chunked(body) if form is Form.CHUNKED else body
    step = PIECE_BYTES if form is Form.PIECES else len(data)
    return [data[at : at + step] for at in range(0, len(data), step)]


def _chunked(body: bytes) -> bytes:
    return b"".join(_chunks(body))


def _chunks(body: bytes) -> list[bytes]:
    size = max(CHUNK_BYTES, len(body) // 10)
    parts = [
        b'%x;name="a;b"\r\n%b\r\n'
        % (len(body[at : at + size]), body[at:][:size])
        for at in range(0, len(body), size)
    ]
    return [*parts, b"0;last\r\nX-Trailer: t\r\n\r\n"]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Fields]:
    """Returns the first line and the header fields by lower-case name."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_answer_head(
    reader: asyncio.StreamReader,
) -> tuple[int, Fields]:
    """Returns the status and the header fields of an answer."""
    line, fields = await read_head(reader)
    return int(line.split()[1]), fields


async def read_body(
    reader: asyncio.StreamReader, fields: Fields, pause_s: float = 0.0
) -> bytes:
    """Returns the body of a message with Content-Length or chunked coding.

    Args:
        reader: Stream whose head has been read.
        fields: Header fields of the message.
        pause_s: Pause between two reads, in seconds.

    Raises:
        OSError: A chunked body exceeds ``MAX_ANSWER_BYTES``.
        asyncio.IncompleteReadError: The connection ended within the body.
    """
    if fields.get("transfer-encoding", "").lower() != "chunked":
        length = int(fields.get("content-length", 0))
        return await _read_exactly(reader, length, pause_s)
    parts = []
    count = 0
    while size := int((await _read_line(reader)).partition(b";")[0], 16):
        count += size
        if count > MAX_ANSWER_BYTES:
            raise OSError("chunked body exceeds MAX_ANSWER_BYTES")
        parts.append(await _read_exactly(reader, size, pause_s))
        await reader.readexactly(len(_CRLF))
    while await _read_line(reader):
        pass
    return b"".join(parts)


async def _read_exactly(
    reader: asyncio.StreamReader, count: int, pause_s: float
) -> bytes:
    if not pause_s:
        return await reader.readexactly(count)
    parts = []
    while count:
        parts.append(await reader.readexactly(min(count, SLOW_READ_BYTES)))
        count -= len(parts[-1])
        await asyncio.sleep(pause_s if count else 0.0)
    return b"".join(parts)


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    return (await reader.readuntil(_CRLF))[: -len(_CRLF)]


def is_final(status: int) -> bool:
    """Returns whether a status is final, not informational (1xx)."""
    return status >= _FIRST_FINAL
