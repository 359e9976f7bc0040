"""Parses callers' HTTP/1.x requests incrementally.

It doesn't use connections, so that it can be tested on plain bytes.
"""

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
from fuchsiacourse.front import work_meter

_BAD_REQUEST = 400
_TOO_LARGE = 413
_TARGET_TOO_LONG = 414
_HEADERS_TOO_LARGE = 431
_SERVER_ERROR = 500
_NOT_IMPLEMENTED = 501
_UNAVAILABLE = 503
# A colon and CRLF; the space after the colon is optional and not counted.
_HEADER_EXTRA_BYTES = 3
_CONNECT = b"CONNECT"
_HOST = b"host"
# A well-formed request line, whose method is unknown if httptools rejects it.
_REQUEST_LINE = re.compile(
    rb"[\r\n]*[!#$%&'*+.^_`|~0-9A-Za-z-]+ +[^ \r\n]+ HTTP/1\.[01]\r\n"
)
# Userinfo in an authority is an error (RFC 9110, section 4.2.4).
_ABSOLUTE_FORM = re.compile(
    rb"https?://(?P<authority>[^/?#@]+)(?P<path>[/?][^#]*)?", re.I
)
# httptools reports a header only once it is complete, so input that neither
# starts a request, completes a head nor carries body bytes is limited too;
# this many bytes are allowed on top of the limits of head and target.
_FEED_SLACK_BYTES = 65_536
# Most header lines of a head.
MAX_HEADER_LINES = 1_000
# Header lines of a head that count as one part together.
_FREE_HEADER_LINES = 32
# Memory of a header line and of a request beside their bytes.
_LINE_BYTES = 150
_REQUEST_BYTES = 500

Charge = typing.Callable[[int, int], typing.Any]
Limits = typing.Callable[[], route_table.CallerLimits]


class RequestParser:
    """Parses requests strictly and queues pipelined ones.

    A request with a long body is queued before the body is complete.

    A request whose length is ambiguous is rejected, because a target could
    read a smuggled request in its body.

    Args:
        clock: Source of time.
        limits: Returns the current limits. The limits at the first byte of
            a request apply to it, or later ones if they allow more.
        budget: Memory budget for bodies. Whoever removes a request from
            ``requests`` releases the bytes of its body.
        on_flow: Called with True to pause reading from the caller, with
            False to resume it.
        meter: Counts the work of the connection.
        charge: Called with numbers of parts and bytes to count at the meter.
    """

    __slots__ = (
        "requests",
        "wants_continue",
        "has_cut_body",
        "head_started_s",
        "_clock",
        "_current_limits",
        "_limits",
        "_parser",
        "_is_reparsing",
        "_offers_upgrade",
        "_target",
        "_headers",
        "_head_bytes",
        "_trailer_bytes",
        "_no_progress_bytes",
        "_has_progress",
        "_pieces",
        "_parts",
        "_part_bytes",
        "_meter",
        "_charge_meter",
        "_counted_lines",
        "_body",
        "_body_bytes",
        "_reserved_bytes",
        "_stream",
        "_on_flow",
        "_is_reading_body",
        "_budget",
    )

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        limits: Limits,
        budget: body_budget.BodyBudget,
        on_flow: body_stream.FlowCallback,
        meter: work_meter.WorkMeter,
        charge: Charge,
    ) -> None:
        self._budget = budget
        self._meter = meter
        self._charge_meter = charge
        # Parts and bytes that the meter has not counted yet.
        self._parts = 0
        self._part_bytes = 0
        # Parts of the body in the bytes that are being parsed.
        self._pieces: list[bytes] = []
        self._on_flow = on_flow
        self._stream: body_stream.BodyStream | None = None
        self.requests: collections.deque[http_request.HttpRequest] = (
            collections.deque()
        )
        # Whether the caller waits for "100 Continue" before it sends its body.
        self.wants_continue = False
        # Whether a rejection has cut off a body that is already forwarded.
        self.has_cut_body = False
        # Monotonic time of the first byte of the request that is being read,
        # in seconds; None between requests.
        self.head_started_s: float | None = None
        self._clock = clock
        self._current_limits = limits
        self._parser = httptools.HttpRequestParser(self)
        # Whether the next head is parsed a second time, without an upgrade.
        self._is_reparsing = False
        self._offers_upgrade = False
        self._limits = limits()
        self._has_progress = False
        self._no_progress_bytes = 0
        self._reset()

    def close(self) -> None:
        """Aborts a streamed body and releases all reserved memory."""
        self.abort_body(errors.BodyTruncated("caller closed the connection"))
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
        while self.requests:
            self._budget.release(len(self.requests.popleft().body))

    def cut_off(self, error: errors.RequestRejected) -> None:
        """Aborts the body of a request that is rejected."""
        self.has_cut_body = self._stream is not None
        self.abort_body(error)

    def abort_body(self, error: Exception) -> None:
        """Aborts the body that is being streamed, if there is one.

        Args:
            error: Reason, passed to the reader of the stream.
        """
        if self._stream is not None:
            self._stream.fail(error)
            self._end_stream()

    @property
    def limits(self) -> route_table.CallerLimits:
        """Limits at the first byte of the latest request."""
        return self._limits

    @property
    def held_bytes(self) -> int:
        """Memory of the heads that have been read and not been removed."""
        count = self._head_bytes + _LINE_BYTES * len(self._headers)
        for request in self.requests:
            count += request.head_bytes
        return count

    @property
    def is_reading_body(self) -> bool:
        """Whether a head is complete and its body is not."""
        return self._is_reading_body

    @property
    def partial_request(self) -> http_request.HttpRequest:
        """The incomplete request as far as it has been read, for the logs."""
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
        """Whether an incomplete request has been read."""
        return self.head_started_s is not None

    def feed(self, data: bytes) -> None:
        """Parses bytes and adds requests to ``requests``.

        Args:
            data: Bytes from the caller.

        Raises:
            RequestRejected: The bytes are not an acceptable request, or
                parsing failed with an unexpected exception, which is then
                the cause.
        """
        self._has_progress = False
        try:
            self._feed_reporting_faults(data)
            if self._has_progress:
                self._no_progress_bytes = 0
            else:
                self._count_no_progress(len(data))
        except errors.RequestRejected as error:
            self._charge()
            self.cut_off(error)
            raise

    def _feed_reporting_faults(self, data: bytes) -> None:
        """Parses bytes; a fault of the front is not blamed on the caller."""
        try:
            self._feed(data)
            if self._pieces or self._parts or self._headers:
                self._end_slice()
        except errors.RequestRejected:
            raise
        except Exception as error:
            raise errors.RequestRejected(
                _SERVER_ERROR, "internal error"
            ) from error

    def _feed(self, data: bytes) -> None:
        try:
            while data:
                try:
                    self._parser.feed_data(data)
                    return
                except httptools.HttpParserUpgrade as error:
                    data = self._head_without_upgrade() + data[error.args[0] :]
        except httptools.HttpParserInvalidMethodError as error:
            if not self.requests and _REQUEST_LINE.match(data):
                raise errors.RequestRejected(
                    _NOT_IMPLEMENTED, "unknown method"
                ) from error
            raise errors.RequestRejected(_BAD_REQUEST, str(error)) from error
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if cause is None:
                raise
            raise cause from error
        except httptools.HttpParserError as error:
            raise errors.RequestRejected(_BAD_REQUEST, str(error)) from error

    def _head_without_upgrade(self) -> bytes:
        """Returns the head without the upgrade and resets the parser.

        httptools skips the body of a request that offers an upgrade, so
        the head is parsed again without the offer.
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
        self._is_reparsing = True
        self._reset_head()
        return b"".join(lines)

    def on_message_begin(self) -> None:
        """Handles the first byte of a request (httptools callback)."""
        self._has_progress = True
        if self._is_reparsing:
            self._is_reparsing = False
            return
        self._meter.begin_message()
        self._limits = self._current_limits()
        self.head_started_s = self._clock.now()

    def on_url(self, url: bytes) -> None:
        """Handles a part of the request target (httptools callback).

        Raises:
            RequestRejected: The target is too long.
        """
        self._target += url
        count = len(self._target)
        if (
            count > self._limits.max_request_target_bytes
            and count > self._current_limits().max_request_target_bytes
        ):
            raise errors.RequestRejected(_TARGET_TOO_LONG, "target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header or a trailer (httptools callback).

        Raises:
            RequestRejected: The head or the trailers are too large.
        """
        if self._is_reading_body:
            self._drop_trailer(name, value)
            return
        self._head_bytes += len(name) + len(value) + _HEADER_EXTRA_BYTES
        if (
            self._head_bytes > self._limits.max_head_bytes
            and self._head_bytes > self._current_limits().max_head_bytes
        ):
            raise errors.RequestRejected(_HEADERS_TOO_LARGE, "head too large")
        self._headers.append((name.lower(), value.strip(b" \t")))

    def _count_header_lines(self) -> None:
        count = len(self._headers)
        if count <= self._counted_lines:
            return
        self._parts += count - self._counted_lines
        self._counted_lines = count
        if count > MAX_HEADER_LINES:
            raise errors.TooManyParts(
                _HEADERS_TOO_LARGE, "too many header lines"
            )

    def _drop_trailer(self, name: bytes, value: bytes) -> None:
        """Counts a trailer and drops it; it must not alter the request."""
        self._parts += 1
        self._trailer_bytes += len(name) + len(value) + _HEADER_EXTRA_BYTES
        if self._trailer_bytes > self._limits.max_head_bytes:
            raise errors.RequestRejected(
                _HEADERS_TOO_LARGE, "trailers too large"
            )

    def on_headers_complete(self) -> None:
        """Handles the end of a head (httptools callback).

        Raises:
            RequestRejected: The head is malformed or not supported.
        """
        self._has_progress = True
        self._count_header_lines()
        self._parts += 1
        self._part_bytes += self._head_bytes
        self._offers_upgrade = self._parser.should_upgrade()
        if self._offers_upgrade and self._parser.get_method() == _CONNECT:
            raise errors.RequestRejected(_BAD_REQUEST, "no tunnels")
        _check_head(self._headers)
        if not self._target.startswith(b"/"):
            self._split_absolute_form()
        self._is_reading_body = True
        for name, value in self._headers:
            if name == b"content-length":
                self._check_body(int(value))
            elif name == b"expect" and value.lower() == b"100-continue":
                # HTTP/1.0 has no 100 (Continue), see RFC 9110, 10.1.1.
                self.wants_continue = self._accepts_chunked()

    def _split_absolute_form(self) -> None:
        """Splits a target in absolute form into authority and path."""
        match = _ABSOLUTE_FORM.fullmatch(self._target)
        if match is None:
            raise errors.RequestRejected(_BAD_REQUEST, "not a path")
        path = match["path"] or b"/"
        self._target = path if path.startswith(b"/") else b"/" + path
        # The authority replaces the Host header (RFC 9112, section 3.2.2).
        self._headers = [
            (name, match["authority"] if name == _HOST else value)
            for name, value in self._headers
        ]

    def on_body(self, body: bytes) -> None:
        """Handles a part of a body (httptools callback)."""
        self._pieces.append(body)

    def _keep_pieces(self) -> None:
        """Joins the parsed parts of a body and keeps or passes them on.

        Raises:
            RequestRejected: The body is too large, or the memory budget for
                bodies is used up.
        """
        body = b"".join(self._pieces)
        self._parts += len(self._pieces)
        self._part_bytes += len(body)
        self._pieces.clear()
        self.wants_continue = False
        self._has_progress = True
        self._body_bytes += len(body)
        self._check_body(self._body_bytes)
        if self._stream is not None:
            self._stream.feed(body)
            return
        self._reserve(len(body))
        body_stream.append_part(self._body, body)
        if self._body_bytes > body_stream.MAX_BUFFERED_BYTES:
            # The stream buffers up to this much; _end_stream releases it, not
            # whoever removes the request.
            self._reserve(body_stream.HIGH_WATER_BYTES)
            self._reserved_bytes -= body_stream.HIGH_WATER_BYTES
            self._stream = body_stream.BodyStream(
                on_flow=self._on_flow, on_close=_keep_reading
            )
            self._queue()

    def on_message_complete(self) -> None:
        """Handles the end of a request (httptools callback)."""
        if self._offers_upgrade:
            # The head is parsed again, see _head_without_upgrade.
            return
        if self._pieces:
            self._keep_pieces()
        self._charge()
        if self._stream is None:
            self._queue()
        else:
            self._stream.end()
            self._end_stream()
        self._reset()

    def _charge(self) -> None:
        """Counts the work since the last call."""
        if self._parts:
            self._charge_meter(self._parts, self._part_bytes)
            self._parts = 0
            self._part_bytes = 0

    def _end_slice(self) -> None:
        """Keeps and counts what has been parsed of an incomplete request."""
        if self._pieces:
            self._keep_pieces()
        self._count_header_lines()
        self._charge()
        if self._meter.is_exhausted:
            raise errors.TooManyParts(_TOO_LARGE, "body in too many parts")

    def _accepts_chunked(self) -> bool:
        return self._parser.get_http_version() == "1.1"

    def _reserve(self, count: int) -> None:
        if not self._budget.reserve(count):
            raise errors.RequestRejected(
                _UNAVAILABLE, "no memory for the body now"
            )
        self._reserved_bytes += count

    def _end_stream(self) -> None:
        self._stream = None
        self._budget.release(body_stream.HIGH_WATER_BYTES)

    def _queue(self) -> None:
        """Queues the request.

        The memory of its body is released by whoever removes the request.
        """
        self._reserved_bytes = 0
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
                accepts_chunked=self._accepts_chunked(),
                rest=self._stream,
                head_bytes=(
                    _REQUEST_BYTES
                    + self._head_bytes
                    + _LINE_BYTES * len(self._headers)
                ),
            )
        )

    def _count_no_progress(self, count: int) -> None:
        self._no_progress_bytes += count
        limits = self._current_limits()
        limit = limits.max_head_bytes + limits.max_request_target_bytes
        if self._no_progress_bytes > limit + _FEED_SLACK_BYTES:
            raise errors.RequestRejected(_HEADERS_TOO_LARGE, "head too large")

    def _check_body(self, count: int) -> None:
        if (
            count > self._limits.max_body_bytes
            and count > self._current_limits().max_body_bytes
        ):
            raise errors.RequestRejected(_TOO_LARGE, "body too large")

    def _reset(self) -> None:
        self.head_started_s = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._pieces.clear()
        self._reserved_bytes = 0
        self._reset_head()

    def _reset_head(self) -> None:
        self.wants_continue = False
        self._target = b""
        self._headers: http_request.Headers = []
        self._head_bytes = 0
        self._counted_lines = _FREE_HEADER_LINES
        self._trailer_bytes = 0
        self._is_reading_body = False


def _keep_reading() -> None:
    """Does nothing: the rest of a closed body is read and dropped."""


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
