"""A caller's request as the front has parsed it."""

from __future__ import annotations

from fuchsiacourse.front import body_stream

Headers = list[tuple[bytes, bytes]]


class HttpRequest:
    """A caller's request, complete but for the rest of a long body.

    Args:
        method: Method in upper case.
        target: Path and query of the request target as sent.
        headers: Names in lower case with values, in order.
        body: Decoded body, or the first part of a long one.
        received_s: Monotonic time of the first byte, in seconds.
        keeps_alive: Whether the caller may reuse the connection.
        accepts_chunked: Whether the caller understands chunked answers.
        rest: Stream of the rest of a long body, None if the body is
            complete.
        head_bytes: Memory of the head while the request is queued.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "received_s",
        "keeps_alive",
        "accepts_chunked",
        "rest",
        "head_bytes",
    )

    def __init__(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        received_s: float,
        keeps_alive: bool,
        accepts_chunked: bool = True,
        rest: body_stream.BodyStream | None = None,
        head_bytes: int = 0,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_s = received_s
        self.keeps_alive = keeps_alive
        self.accepts_chunked = accepts_chunked
        self.rest = rest
        self.head_bytes = head_bytes

    def without_body(self) -> HttpRequest:
        """Returns the request without its body, which uses memory."""
        return HttpRequest(
            method=self.method,
            target=self.target,
            headers=self.headers,
            body=b"",
            received_s=self.received_s,
            keeps_alive=self.keeps_alive,
        )

    @property
    def is_chunked(self) -> bool:
        """Whether the body is forwarded in chunked transfer coding."""
        return self.rest is not None and (
            self.header(b"content-length") is None
        )

    @property
    def is_consumed(self) -> bool:
        """Whether streaming of the body has started, so it can't be resent."""
        return self.rest is not None and self.rest.has_been_read

    @property
    def path(self) -> str:
        """Path of the request target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def host(self) -> str:
        """Value of the Host header in lower case, without the port."""
        return host_name((self.header(b"host") or b"").decode("latin-1"))


def host_name(value: str) -> str:
    """Returns a host name in lower case, without a port.

    The trailing dot of an absolute name is removed, because both forms name
    the same host.

    Args:
        value: Host header or configured host, with or without a port.
    """
    name = value.strip().lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0].rstrip().removesuffix(".")
