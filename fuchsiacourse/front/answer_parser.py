"""Parses the HTTP answers of one connection incrementally.

It doesn't use connections, so that it can be tested on plain bytes.
"""

from __future__ import annotations

import collections
import typing

import httptools

from fuchsiacourse import errors
from fuchsiacourse.front import answer_budget
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request

# Limit on consecutive bytes that carry no body: a head, informational answers
# before it, chunk extensions or trailers. Common servers limit a head to an
# eighth of it.
MAX_HEAD_BYTES = 65_536
# Header lines of one head. A line is kept as two objects, which take far more
# memory than a short line has bytes.
MAX_HEAD_LINES = 256
_FIRST_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset((204, 304))

StreamFactory = typing.Callable[[], body_stream.BodyStream]


class AnswerParser:
    """Parses and queues answers; drops informational ones (1xx).

    Args:
        max_bytes: Longest body that is buffered, in bytes.
        stream_factory: Returns a stream for a longer body; None buffers all
            bodies.
        budget: Memory for long answers, None without a limit for all
            together.
    """

    __slots__ = (
        "answers",
        "closes",
        "has_begun",
        "part_count",
        "content_bytes",
        "_max_bytes",
        "_stream_factory",
        "_budget",
        "_is_long",
        "_stream",
        "_parser",
        "_headers",
        "_body",
        "_new_parts",
        "_limit_error",
        "_body_bytes",
        "_bodiless_bytes",
        "_is_head_complete",
        "_is_framed",
    )

    def __init__(
        self,
        *,
        max_bytes: int,
        stream_factory: StreamFactory | None = None,
        budget: answer_budget.AnswerBudget | None = None,
    ) -> None:
        # Answers, oldest first; the body of the last may still be streamed.
        self.answers: collections.deque[http_answer.HttpAnswer] = (
            collections.deque()
        )
        # Whether the peer closes the connection after the last answer.
        self.closes = False
        # Whether part of an incomplete answer has been read.
        self.has_begun = False
        # Number of body parts, header lines, trailers and heads, and bytes of
        # the bodies read so far, over all answers.
        self.part_count = 0
        self.content_bytes = 0
        self._max_bytes = max_bytes
        self._stream_factory = stream_factory
        self._budget = budget
        # Whether the current answer counts as long.
        self._is_long = False
        self._stream: body_stream.BodyStream | None = None
        self._parser = httptools.HttpResponseParser(self)
        # Parts of a body that are joined before they are kept or passed on.
        self._new_parts: list[bytes] = []
        # Raised in a callback, where httptools replaces it.
        self._limit_error: errors.AnswerLimitExceeded | None = None
        # Bytes since the last part of a body or the last final head.
        self._bodiless_bytes = 0
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parses bytes and adds answers to ``answers``.

        Args:
            data: Bytes from the server.

        Raises:
            TargetBadAnswer: The bytes are not an HTTP answer, or the answer
                is too large, and no answer precedes them.
        """
        self._bodiless_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if self._new_parts:
                self._join_parts()
        except errors.AnswerLimitExceeded as error:
            self._fail_malformed(error)
        except httptools.HttpParserError as error:
            self._fail_malformed(
                self._limit_error or errors.TargetBadAnswer(str(error))
            )
        except httptools.HttpParserUpgrade:
            self._fail_malformed(
                errors.TargetBadAnswer("unrequested protocol switch")
            )
        if self._bodiless_bytes > MAX_HEAD_BYTES:
            self._fail_malformed(
                errors.AnswerLimitExceeded("head_bytes", MAX_HEAD_BYTES)
            )

    @property
    def is_streaming(self) -> bool:
        """Whether the rest of an answer is being streamed."""
        return self._stream is not None

    @property
    def unfinished(self) -> http_answer.HttpAnswer | None:
        """Head of the answer whose body is being buffered, None without."""
        if not self._is_head_complete or self._stream is not None:
            return None
        return http_answer.HttpAnswer(
            status=self._parser.get_status_code(), headers=self._headers
        )

    def abort_body(self, error: Exception) -> None:
        """Aborts the body that is being streamed, if there is one.

        Args:
            error: Reason, passed to the reader of the stream.
        """
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.fail(error)

    def release(self) -> None:
        """Returns the memory of an unfinished answer to the budget."""
        if self._is_long:
            assert self._budget is not None
            self._is_long = False
            self._budget.remove()

    def _fail_malformed(self, error: errors.TargetBadAnswer) -> None:
        # Answers before the malformed bytes are complete and stay valid.
        self.closes = True
        self.abort_body(error)
        if not self.answers:
            raise error

    def end(self) -> None:
        """Completes an answer that is delimited by an orderly close."""
        if self._is_head_complete and not self._is_framed:
            self._complete()

    def end_without_body(self) -> None:
        """Completes an answer to HEAD, which has no body, after its head.

        The parser takes what follows for a body, so the connection can't
        carry another answer.
        """
        if self._is_head_complete:
            self._complete()
            self.closes = True

    def on_message_begin(self) -> None:
        """Handles the first byte of an answer (httptools callback)."""
        self._reset()
        self.has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header and drops a trailer (httptools callback).

        Raises:
            AnswerLimitExceeded: The head has too many lines.
        """
        if self._is_head_complete:
            self.part_count += 1
            return
        if len(self._headers) >= MAX_HEAD_LINES:
            raise self._exceeded("head_lines", MAX_HEAD_LINES)
        self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Handles the end of a head (httptools callback)."""
        self.part_count += 1 + len(self._headers)
        self._is_head_complete = True
        status = self._parser.get_status_code()
        if status >= _FIRST_FINAL_STATUS:
            self._bodiless_bytes = 0
        self._is_framed = status in _BODILESS_STATUSES or any(
            name == b"content-length"
            or (name == b"transfer-encoding" and value.lower() == b"chunked")
            for name, value in self._headers
        )

    def on_body(self, body: bytes) -> None:
        """Handles a part of a body (httptools callback)."""
        self._new_parts.append(body)

    def on_message_complete(self) -> None:
        """Handles the end of an answer (httptools callback)."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            self._reset()
            return
        if self._new_parts:
            self._join_parts()
        self._complete()
        self._bodiless_bytes = 0

    def _join_parts(self) -> None:
        """Keeps or passes on the parts that one call of ``feed`` brought.

        Raises:
            AnswerLimitExceeded: The body is too long and isn't streamed.
        """
        parts = self._new_parts
        body = parts[0] if len(parts) == 1 else b"".join(parts)
        self._bodiless_bytes = 0
        self.part_count += len(parts)
        self.content_bytes += len(body)
        parts.clear()
        if self._stream is not None:
            self._stream.feed(body)
            return
        self._body_bytes += len(body)
        if self._body_bytes > answer_budget.MIN_SHARE_BYTES:
            self._count_long()
        must_stream = self._must_stream()
        if not must_stream and self._body_bytes > self._max_bytes:
            raise self._exceeded("body_bytes", self._max_bytes)
        body_stream.append_part(self._body, body)
        if must_stream:
            self._begin_stream()

    def _count_long(self) -> None:
        if self._budget is not None and not self._is_long:
            self._is_long = True
            self._budget.add()

    def _exceeded(self, limit: str, value: int) -> errors.AnswerLimitExceeded:
        self._limit_error = errors.AnswerLimitExceeded(limit, value)
        return self._limit_error

    def _must_stream(self) -> bool:
        if self._stream_factory is None:
            return False
        if self._body_bytes > body_stream.MAX_BUFFERED_BYTES:
            return True
        return self._is_long and self._body_bytes > self._budget.share_bytes

    def _begin_stream(self) -> None:
        assert self._stream_factory is not None
        self._stream = self._stream_factory()
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
        body, self._body = b"".join(self._body), []
        self.answers.append(
            http_answer.HttpAnswer(
                status=self._parser.get_status_code(),
                headers=self._headers,
                body=body,
                rest=self._stream,
            )
        )

    def _reset(self) -> None:
        if self._is_long:
            self.release()
        self.has_begun = False
        self._headers: http_request.Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_head_complete = False
        self._is_framed = False
