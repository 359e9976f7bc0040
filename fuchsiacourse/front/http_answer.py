"""HTTP answer of a target or of the front itself."""

from __future__ import annotations

import http

from fuchsiacourse.front import body_stream
from fuchsiacourse.front import http_request

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
FIRST_SUCCESS = 200
FIRST_REDIRECTION = 300
FIRST_SERVER_ERROR = 500
_BODILESS_STATUSES = frozenset((204, 304))


class HttpAnswer:
    """An HTTP answer, complete but for the rest of a long body.

    Args:
        status: Status code.
        headers: Names in lower case with values, in order.
        body: Decoded body, or the first part of a long one.
        rest: Stream of the rest of a long body, None if the body is
            complete.
    """

    __slots__ = ("status", "headers", "body", "rest")

    def __init__(
        self,
        *,
        status: int,
        headers: http_request.Headers,
        body: bytes = b"",
        rest: body_stream.BodyStream | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.rest = rest

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return FIRST_SUCCESS <= self.status < FIRST_REDIRECTION

    @property
    def is_server_error(self) -> bool:
        """Whether the status is 500 or above."""
        return self.status >= FIRST_SERVER_ERROR

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def is_chunked(self) -> bool:
        """Whether the body is sent in chunked transfer coding."""
        return self.rest is not None and (
            self.header(b"content-length") is None
        )

    def without_hop_by_hop(self) -> HttpAnswer:
        """Returns the answer without its hop-by-hop headers."""
        return HttpAnswer(
            status=self.status,
            headers=end_to_end(self.headers),
            body=self.body,
            rest=self.rest,
        )

    def encode(self, *, keeps_alive: bool, has_body: bool = True) -> bytes:
        """Returns the answer as HTTP/1.1 bytes.

        Args:
            keeps_alive: Whether the connection stays open.
            has_body: Whether to include the body; False for HEAD.
        """
        lines = [b"HTTP/1.1 %d %s\r\n" % (self.status, _phrase(self.status))]
        for name, value in self.headers:
            if name != b"content-length":
                lines.append(b"%s: %s\r\n" % (name, value))
        if self.is_chunked:
            lines.append(b"transfer-encoding: chunked\r\n")
        elif self.status not in _BODILESS_STATUSES:
            length = self.header(b"content-length")
            if self.rest is None and (has_body or length is None):
                length = b"%d" % len(self.body)
            lines.append(b"content-length: %s\r\n" % length)
        if not keeps_alive:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        if has_body and self.status not in _BODILESS_STATUSES:
            is_chunked = self.is_chunked
            lines.append(
                body_stream.chunk(self.body) if is_chunked else self.body
            )
        return b"".join(lines)


def end_to_end(headers: http_request.Headers) -> http_request.Headers:
    """Returns the headers without the hop-by-hop ones.

    Headers that the Connection header lists are hop-by-hop as well.
    """
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in named
    ]


def _phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
