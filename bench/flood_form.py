"""Forms of answers and uploads that are sent without end."""

from __future__ import annotations

import enum

# Bytes of a write; the parts of a form are repeated up to this size.
BLOCK_BYTES = 65_536
# Stated length of a body that doesn't end.
LENGTH_BYTES = 10**12
_VALUE_BYTES = 8_000
_PREFIX = "X-Fuchsiacourse-"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_ONE_BYTE_CHUNK = b"1\r\na\r\n"
_LONG_CHUNK = b"%x\r\n" % BLOCK_BYTES + b"a" * BLOCK_BYTES + b"\r\n"
_LINE = b"X: a\r\n"
_EMPTY = b"Content-Length: 0\r\n\r\n"


class Form(enum.Enum):
    """What is sent without end, and by whom."""

    ANSWER_LONG_VALUES = "answer-long-values"
    ANSWER_HEADER_LINES = "answer-header-lines"
    ANSWER_JUNK = "answer-junk"
    ANSWER_BLANK_LINES = "answer-blank-lines"
    ANSWER_INFORMATIONAL = "answer-informational"
    ANSWER_ONE_BYTE_CHUNKS = "answer-one-byte-chunks"
    ANSWER_LONG_CHUNKS = "answer-long-chunks"
    ANSWER_LENGTH = "answer-length"
    ANSWER_UNTIL_CLOSE = "answer-until-close"
    ANSWER_CHUNK_EXTENSIONS = "answer-chunk-extensions"
    ANSWER_TRAILERS = "answer-trailers"
    ANSWER_SURPLUS = "answer-surplus"
    UPLOAD_ONE_BYTE_CHUNKS = "upload-one-byte-chunks"
    UPLOAD_LONG_CHUNKS = "upload-long-chunks"
    UPLOAD_HEADER_LINES = "upload-header-lines"


UPLOADS = (
    Form.UPLOAD_ONE_BYTE_CHUNKS,
    Form.UPLOAD_LONG_CHUNKS,
    Form.UPLOAD_HEADER_LINES,
)
# Bytes between the head of a message and the parts; forms that aren't listed
# have no head that ends.
_BEGIN_BY_FORM = {
    Form.ANSWER_ONE_BYTE_CHUNKS: _CHUNKED,
    Form.ANSWER_LONG_CHUNKS: _CHUNKED,
    Form.ANSWER_LENGTH: b"Content-Length: %d\r\n\r\n" % LENGTH_BYTES,
    Form.ANSWER_UNTIL_CLOSE: b"\r\n",
    Form.ANSWER_CHUNK_EXTENSIONS: _CHUNKED + b"1;",
    Form.ANSWER_TRAILERS: _CHUNKED + _ONE_BYTE_CHUNK + b"0\r\n",
    Form.ANSWER_SURPLUS: _EMPTY,
    Form.UPLOAD_ONE_BYTE_CHUNKS: _CHUNKED,
    Form.UPLOAD_LONG_CHUNKS: _CHUNKED,
}
_HEADLESS = (
    Form.ANSWER_JUNK,
    Form.ANSWER_BLANK_LINES,
    Form.ANSWER_INFORMATIONAL,
)
_PART_BY_FORM = {
    Form.ANSWER_LONG_VALUES: b"X-Filler: " + b"a" * _VALUE_BYTES + b"\r\n",
    Form.ANSWER_HEADER_LINES: _LINE,
    Form.ANSWER_JUNK: b"\x16\x03\x01 not HTTP ",
    Form.ANSWER_BLANK_LINES: b"\r\n",
    Form.ANSWER_INFORMATIONAL: b"HTTP/1.1 103 Early Hints\r\n\r\n",
    Form.ANSWER_ONE_BYTE_CHUNKS: _ONE_BYTE_CHUNK,
    Form.ANSWER_LONG_CHUNKS: _LONG_CHUNK,
    Form.ANSWER_LENGTH: b"a",
    Form.ANSWER_UNTIL_CLOSE: b"a",
    Form.ANSWER_CHUNK_EXTENSIONS: b"a",
    Form.ANSWER_TRAILERS: _LINE,
    Form.ANSWER_SURPLUS: b"HTTP/1.1 200 OK\r\n" + _EMPTY,
    Form.UPLOAD_ONE_BYTE_CHUNKS: _ONE_BYTE_CHUNK,
    Form.UPLOAD_LONG_CHUNKS: _LONG_CHUNK,
    Form.UPLOAD_HEADER_LINES: _LINE,
}


def answer_begin(form: Form, id: str) -> bytes:
    """Returns the bytes of an answer before its parts without end.

    Args:
        form: Form of the answer.
        id: Request id.
    """
    if form in _HEADLESS:
        return b""
    head = (
        f"HTTP/1.1 200 OK\r\n{_PREFIX}Request-Id: {id}\r\n"
        f"{_PREFIX}Response-Signature: s\r\n"
    )
    return head.encode() + _BEGIN_BY_FORM.get(form, b"")


def request_begin(form: Form, *, host: str, path: str, id: str) -> bytes:
    """Returns a request: all of it, or what precedes an upload without end.

    Args:
        form: Form of the upload, or of the answer to the request.
        host: Host of the route.
        path: Path of the request.
        id: Request id.
    """
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"{_PREFIX}Request-Id: {id}\r\nConnection: close\r\n"
    )
    if form not in UPLOADS:
        return head.encode() + _EMPTY
    return head.encode() + _BEGIN_BY_FORM.get(form, b"")


def block(form: Form) -> bytes:
    """Returns the repeated parts of a form, about ``BLOCK_BYTES``."""
    part = _PART_BY_FORM[form]
    return part * max(1, BLOCK_BYTES // len(part))
