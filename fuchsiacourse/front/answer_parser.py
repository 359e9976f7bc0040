"""Incremental parser of the answers on one connection."""

from __future__ import annotations

import collections
import typing

import httptools

from fuchsiacourse import errors
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request

# Bytes without a part of a body after which they are no answer: a head,
# informational answers before it, chunk extensions or trailers. Common servers
# limit a head to an eighth of it.
MAX_HEAD_BYTES = 65_536
_FIRST_FINAL = 200
_BODILESS = frozenset((204, 304))

PassingOn = typing.Callable[[], body_stream.BodyStream]


class AnswerParser:
    """Parses answers; informational ones are dropped.

    Args:
        max_bytes: Longest body that is read whole.
        passing_on: How to pass longer bodies on while they arrive, None
            where all bodies are to be whole.
    """

    __slots__ = (
        "answers",
        "closes",
        "has_begun",
        "body_part_count",
        "_max_bytes",
        "_passing_on",
        "_stream",
        "_parser",
        "_headers",
        "_body",
        "_body_bytes",
        "_bodiless_bytes",
        "_is_head_complete",
        "_is_framed",
    )

    def __init__(
        self, *, max_bytes: int, stream_factory: PassingOn | None = None
    ) -> None:
        # Answers, oldest first; the last may have a rest to come.
        self.answers: collections.deque[http_answer.HttpAnswer] = (
            collections.deque()
        )
        # Whether the peer ends the connection after the last answer.
        self.closes = False
        # Whether part of an answer has been read.
        self.has_begun = False
        # Parts of bodies read so far.
        self.body_part_count = 0
        self._max_bytes = max_bytes
        self._passing_on = stream_factory
        self._stream: body_stream.BodyStream | None = None
        self._parser = httptools.HttpResponseParser(self)
        # Bytes since the last part of a body or final head.
        self._bodiless_bytes = 0
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parses bytes; complete answers are added to ``answers``.

        Raises:
            TargetBadAnswer: The bytes are not an answer.
        """
        self._bodiless_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._spoil(errors.TargetBadAnswer(str(error)))
        except httptools.HttpParserUpgrade:
            self._spoil(errors.TargetBadAnswer("change of protocol"))
        if self._bodiless_bytes > MAX_HEAD_BYTES:
            self._spoil(errors.TargetBadAnswer("no end of a head"))

    @property
    def is_streaming(self) -> bool:
        """Whether the rest of an answer is being passed on."""
        return self._stream is not None

    def abort_body(self, error: Exception) -> None:
        """Ends an answer that is being passed on before it is whole."""
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.fail(error)

    def _spoil(self, error: errors.TargetBadAnswer) -> None:
        # Answers before the malformed bytes are whole.
        self.closes = True
        self.abort_body(error)
        if not self.answers:
            raise error

    def end(self) -> None:
        """Ends an answer whose length is given by an orderly close."""
        if self._is_head_complete and not self._is_framed:
            self._complete()

    def end_without_body(self) -> None:
        """Ends an answer that has no body because the method was HEAD."""
        if self._is_head_complete:
            self._complete()
            self.closes = True

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of an answer."""
        self._reset()
        self.has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with a header or a trailer."""
        if self._is_head_complete:
            return
        self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head."""
        self._is_head_complete = True
        status = self._parser.get_status_code()
        if status >= _FIRST_FINAL:
            self._bodiless_bytes = 0
        self._is_framed = status in _BODILESS or any(
            name == b"content-length"
            or (name == b"transfer-encoding" and value.lower() == b"chunked")
            for name, value in self._headers
        )

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a part of the body."""
        self._bodiless_bytes = 0
        self.body_part_count += 1
        if self._stream is not None:
            self._stream.feed(body)
            return
        self._body_bytes += len(body)
        if self._is_too_long_to_hold():
            self._body.append(body)
            self._begin_stream()
            return
        if self._body_bytes > self._max_bytes:
            raise errors.TargetBadAnswer("answer too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of an answer."""
        if self._parser.get_status_code() < _FIRST_FINAL:
            self._reset()
            return
        self._complete()
        self._bodiless_bytes = 0

    def _is_too_long_to_hold(self) -> bool:
        return (
            self._passing_on is not None
            and self._body_bytes > body_stream.MAX_BUFFERED_BYTES
        )

    def _begin_stream(self) -> None:
        assert self._passing_on is not None
        self._stream = self._passing_on()
        self._queue()

    def _complete(self) -> None:
        self.closes = not self._is_framed or not (
            self._parser.should_keep_alive()
        )
        if self._stream is None:
            self._queue()
        else:
            stream, self._stream = self._stream, None
            stream.end()
        self._reset()

    def _queue(self) -> None:
        self.answers.append(
            http_answer.HttpAnswer(
                status=self._parser.get_status_code(),
                headers=self._headers,
                body=b"".join(self._body),
                rest=self._stream,
            )
        )

    def _reset(self) -> None:
        self.has_begun = False
        self._headers: http_request.Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_head_complete = False
        self._is_framed = False
