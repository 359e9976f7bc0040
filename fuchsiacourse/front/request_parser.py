"""Incremental parser of callers' requests."""

from __future__ import annotations

import collections
import re
import typing

import httptools

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import http_request
from fuchsiacourse.front import route_table

_BAD_REQUEST = 400
_TOO_LARGE = 413
_TARGET_TOO_LONG = 414
_HEADERS_TOO_LARGE = 431
_NOT_IMPLEMENTED = 501
_UNAVAILABLE = 503
# Colon and end of line; the space behind a colon is optional.
_HEADER_EXTRA_BYTES = 3
_CONNECT = b"CONNECT"
_HOST = b"host"
_REQUEST_LINE = re.compile(
    rb"[\r\n]*[!#$%&'*+.^_`|~0-9A-Za-z-]+ +[^ \r\n]+ HTTP/1\.[01]\r\n"
)
# Users in an authority are an error (RFC 9110 4.2.4).
_ABSOLUTE = re.compile(
    rb"https?://(?P<authority>[^/?#@]+)(?P<path>[/?][^#]*)?", re.I
)
# The parser hands over a field only at its end, so pieces that neither begin
# a request nor complete a head nor hold any of a body are counted too.
_FEED_SLACK_BYTES = 65_536

Limits = typing.Callable[[], route_table.CallerLimits]


class RequestParser:
    """Parses requests strictly; pipelined ones are queued.

    A request with a long body is queued before the body is complete.

    A request whose length is ambiguous is an error, because a target could
    read another request in its body.

    Args:
        clock: Source of time.
        limits: Returns the limits in force; those at the first byte of a
            request hold for it, or later ones if they allow more.
        budget: Memory for bodies; whoever takes a request from
            ``requests`` gives its part back.
        on_flow: Called with True when the caller must pause, with False
            when it may go on.
    """

    __slots__ = (
        "requests",
        "wants_continue",
        "head_started_s",
        "_clock",
        "_limits_now",
        "_limits",
        "_parser",
        "_is_replayed",
        "_offers_switch",
        "_target",
        "_headers",
        "_head_bytes",
        "_trailer_bytes",
        "_silent_bytes",
        "_has_progress",
        "_body",
        "_body_bytes",
        "_held_bytes",
        "_stream",
        "_on_flow",
        "_reads_body",
        "_budget",
    )

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        limits: Limits,
        budget: body_budget.BodyBudget,
        on_flow: body_stream.Flow,
    ) -> None:
        self._budget = budget
        self._on_flow = on_flow
        self._stream: body_stream.BodyStream | None = None
        self.requests: collections.deque[http_request.HttpRequest] = (
            collections.deque()
        )
        # Whether a caller waits for "100 Continue" before its body.
        self.wants_continue = False
        # Time of the first byte of a request that is not yet complete.
        self.head_started_s: float | None = None
        self._clock = clock
        self._limits_now = limits
        self._parser = httptools.HttpRequestParser(self)
        # Whether the next head has been read before.
        self._is_replayed = False
        self._offers_switch = False
        self._limits = limits()
        self._has_progress = False
        self._silent_bytes = 0
        self._reset()

    def close(self) -> None:
        """Gives back the memory of what was not taken."""
        self.abort_body(errors.BodyTruncated("the caller has left"))
        self._budget.release(self._held_bytes)
        self._held_bytes = 0
        while self.requests:
            self._budget.release(len(self.requests.popleft().body))

    def abort_body(self, error: Exception) -> None:
        """Ends a body that is passed on while it arrives."""
        if self._stream is not None:
            self._stream.fail(error)
            self._end_stream()

    @property
    def limits(self) -> route_table.CallerLimits:
        """Limits at the first byte of the request."""
        return self._limits

    @property
    def is_reading_body(self) -> bool:
        """Whether the head of a request is complete and its body is not."""
        return self._reads_body

    @property
    def partial_request(self) -> http_request.HttpRequest:
        """The part of a request that has been read, for the logs."""
        return http_request.HttpRequest(
            method=b"",
            target=self._target,
            headers=self._headers,
            body=b"",
            received_s=self.head_started_s or self._clock.now(),
            keeps_alive=False,
        )

    @property
    def is_reading(self) -> bool:
        """Whether part of a request has been read."""
        return self.head_started_s is not None

    def feed(self, data: bytes) -> None:
        """Parses bytes; complete requests are added to ``requests``.

        Raises:
            RequestRejected: The bytes are not an acceptable request.
        """
        self._has_progress = False
        try:
            self._feed(data)
            if self._has_progress:
                self._silent_bytes = 0
            else:
                self._count_silent(len(data))
        except errors.RequestRejected as error:
            self.abort_body(error)
            raise

    def _feed(self, data: bytes) -> None:
        try:
            while data:
                try:
                    self._parser.feed_data(data)
                    return
                except httptools.HttpParserUpgrade as error:
                    data = self._plain_head() + data[error.args[0] :]
        except httptools.HttpParserInvalidMethodError as error:
            if not self.requests and _REQUEST_LINE.match(data):
                raise errors.RequestRejected(
                    _NOT_IMPLEMENTED, "unknown method"
                ) from error
            raise errors.RequestRejected(_BAD_REQUEST, str(error)) from error
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, errors.RequestRejected):
                raise cause from error
            raise errors.RequestRejected(_BAD_REQUEST, str(error)) from error
        except httptools.HttpParserError as error:
            raise errors.RequestRejected(_BAD_REQUEST, str(error)) from error

    def _plain_head(self) -> bytes:
        """Prepares to parse a head again, without the offer to switch.

        The library skips the body of a request with such an offer.
        """
        version = self._parser.get_http_version().encode()
        lines = [
            b"%s %s HTTP/%s\r\n"
            % (self._parser.get_method(), self._target, version)
        ]
        for name, value in self._headers:
            if name != b"upgrade":
                lines.append(b"%s: %s\r\n" % (name, value))
        lines.append(b"\r\n")
        self._parser = httptools.HttpRequestParser(self)
        self._is_replayed = True
        self._reset_head()
        return b"".join(lines)

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a request."""
        self._has_progress = True
        if self._is_replayed:
            self._is_replayed = False
            return
        self._limits = self._limits_now()
        self.head_started_s = self._clock.now()

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a part of the request target."""
        self._target += url
        count = len(self._target)
        if (
            count > self._limits.max_target_bytes
            and count > self._limits_now().max_target_bytes
        ):
            raise errors.RequestRejected(_TARGET_TOO_LONG, "target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with a header or a trailer."""
        if self._reads_body:
            self._drop_trailer(name, value)
            return
        self._head_bytes += len(name) + len(value) + _HEADER_EXTRA_BYTES
        if (
            self._head_bytes > self._limits.max_head_bytes
            and self._head_bytes > self._limits_now().max_head_bytes
        ):
            raise errors.RequestRejected(_HEADERS_TOO_LARGE, "head too large")
        self._headers.append((name.lower(), value.strip(b" \t")))

    def _drop_trailer(self, name: bytes, value: bytes) -> None:
        """Counts a trailer, which has no say in what the request is."""
        self._trailer_bytes += len(name) + len(value) + _HEADER_EXTRA_BYTES
        if self._trailer_bytes > self._limits.max_head_bytes:
            raise errors.RequestRejected(
                _HEADERS_TOO_LARGE, "trailers too large"
            )

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head."""
        self._has_progress = True
        self._offers_switch = self._parser.should_upgrade()
        if self._offers_switch and self._parser.get_method() == _CONNECT:
            raise errors.RequestRejected(_BAD_REQUEST, "no tunnels")
        _check_head(self._headers)
        if not self._target.startswith(b"/"):
            self._take_absolute()
        self._reads_body = True
        for name, value in self._headers:
            if name == b"content-length":
                self._check_body(int(value))
            elif name == b"expect" and value.lower() == b"100-continue":
                # RFC 9110 10.1.1: HTTP/1.0 has no such answer.
                self.wants_continue = self._takes_chunks()

    def _take_absolute(self) -> None:
        """Splits a target in absolute form into host and path."""
        match = _ABSOLUTE.fullmatch(self._target)
        if match is None:
            raise errors.RequestRejected(_BAD_REQUEST, "not a path")
        path = match["path"] or b"/"
        self._target = path if path.startswith(b"/") else b"/" + path
        # RFC 9112 3.2.2: the authority replaces the Host header.
        self._headers = [
            (name, match["authority"] if name == _HOST else value)
            for name, value in self._headers
        ]

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of the body."""
        self.wants_continue = False
        self._has_progress = True
        self._body_bytes += len(body)
        self._check_body(self._body_bytes)
        if self._stream is not None:
            self._stream.feed(body)
            return
        self._take(len(body))
        self._body.append(body)
        if self._body_bytes > body_stream.MAX_BUFFERED_BYTES:
            # What waits in the stream at most.
            self._take(body_stream.HIGH_WATER_BYTES)
            self._held_bytes -= body_stream.HIGH_WATER_BYTES
            self._stream = body_stream.BodyStream(
                on_flow=self._on_flow, on_close=_ignore
            )
            self._queue()

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a request."""
        if self._offers_switch:
            return
        if self._stream is None:
            self._queue()
        else:
            self._stream.end()
            self._end_stream()
        self._reset()

    def _takes_chunks(self) -> bool:
        return self._parser.get_http_version() == "1.1"

    def _take(self, count: int) -> None:
        if not self._budget.reserve(count):
            raise errors.RequestRejected(
                _UNAVAILABLE, "no memory for the body now"
            )
        self._held_bytes += count

    def _end_stream(self) -> None:
        self._stream = None
        self._budget.release(body_stream.HIGH_WATER_BYTES)

    def _queue(self) -> None:
        """Adds the request; its body belongs to the queue from now on."""
        self._held_bytes = 0
        started_s = self.head_started_s
        self.requests.append(
            http_request.HttpRequest(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=b"".join(self._body),
                received_s=(
                    self._clock.now() if started_s is None else started_s
                ),
                keeps_alive=self._parser.should_keep_alive(),
                accepts_chunked=self._takes_chunks(),
                rest=self._stream,
            )
        )

    def _count_silent(self, count: int) -> None:
        self._silent_bytes += count
        limits = self._limits_now()
        limit = limits.max_head_bytes + limits.max_target_bytes
        if self._silent_bytes > limit + _FEED_SLACK_BYTES:
            raise errors.RequestRejected(_HEADERS_TOO_LARGE, "head too large")

    def _check_body(self, count: int) -> None:
        if (
            count > self._limits.max_body_bytes
            and count > self._limits_now().max_body_bytes
        ):
            raise errors.RequestRejected(_TOO_LARGE, "body too large")

    def _reset(self) -> None:
        self.head_started_s = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._held_bytes = 0
        self._reset_head()

    def _reset_head(self) -> None:
        self.wants_continue = False
        self._target = b""
        self._headers: http_request.Headers = []
        self._head_bytes = 0
        self._trailer_bytes = 0
        self._reads_body = False


def _ignore() -> None:
    """Reads on, because the next request follows the body."""


def _check_head(headers: http_request.Headers) -> None:
    counts = {b"host": 0, b"content-length": 0, b"transfer-encoding": 0}
    for name, value in headers:
        if name in counts:
            counts[name] += 1
        if name == b"transfer-encoding" and value.lower() != b"chunked":
            raise errors.RequestRejected(
                _BAD_REQUEST, "unknown transfer coding"
            )
        if name == b"content-length" and not value.isdigit():
            raise errors.RequestRejected(_BAD_REQUEST, "malformed length")
    if counts[b"host"] != 1:
        raise errors.RequestRejected(_BAD_REQUEST, "needs one host header")
    framing = counts[b"content-length"] + counts[b"transfer-encoding"]
    if framing > 1:
        raise errors.RequestRejected(_BAD_REQUEST, "ambiguous length")
