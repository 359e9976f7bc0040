"""Tests of fuchsiacourse.front.answer_parser."""

import tracemalloc
import unittest
from unittest import mock

from fuchsiacourse import errors
from fuchsiacourse.front import answer_parser

OK = b"HTTP/1.1 200 OK\r\n"


class AnswerParserTest(unittest.TestCase):
    """Only complete answers may be queued."""

    def setUp(self) -> None:
        self.parser = answer_parser.AnswerParser(max_bytes=100)

    def test_framed_answer(self):
        """Guards against queuing an answer before its body is complete."""
        self.parser.feed(OK + b"Content-Length: 3\r\n\r\nab")
        self.assertEqual(0, len(self.parser.answers))
        self.assertTrue(self.parser.has_begun)
        self.parser.feed(b"c")
        self.assertEqual(b"abc", self.parser.answers[0].body)
        self.assertFalse(self.parser.has_begun)
        self.assertFalse(self.parser.closes)

    def test_truncated_framed_answer_is_not_queued(self):
        """Guards against taking a truncated body for a complete one."""
        self.parser.feed(OK + b"Content-Length: 3\r\n\r\nab")
        self.parser.end()
        self.assertEqual(0, len(self.parser.answers))

    def test_answer_that_ends_within_its_head_is_not_queued(self):
        """Guards against a success with a body that was never sent."""
        for framing in (b"Content-Length: 3", b"Transfer-Encoding: chunked"):
            head = OK + b"X-Id: q1\r\n" + framing + b"\r\nX-Last: a\r\n\r\n"
            for length in range(len(head)):
                for first in (0, length // 2):
                    parser = answer_parser.AnswerParser(max_bytes=100)
                    parser.feed(head[:first])
                    parser.feed(head[first:length])
                    parser.end()
                    parser.end_without_body()
                    self.assertEqual(0, len(parser.answers), head[:length])

    def test_answer_without_length_ends_with_an_orderly_close(self):
        """Guards against losing an answer that a close delimits."""
        self.parser.feed(OK + b"\r\nab")
        self.assertEqual(0, len(self.parser.answers))
        self.parser.end()
        self.assertEqual(b"ab", self.parser.answers[0].body)
        self.assertTrue(self.parser.closes)

    def test_chunked_answer(self):
        """Guards against chunk framing left in the body."""
        self.parser.feed(
            OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
        )
        self.assertEqual(b"ab", self.parser.answers[0].body)

    def test_tiny_chunks_are_kept_joined(self):
        """Guards against memory for each tiny chunk of a buffered body."""
        for size in (1, 4, 4096):
            with self.subTest(bytes_per_feed=6 * size):
                parser = answer_parser.AnswerParser(max_bytes=200_000)
                parser.feed(OK + b"Transfer-Encoding: chunked\r\n\r\n")
                tracemalloc.start()
                try:
                    for number in range(65_536 // size):
                        parser.feed(b"2\r\n%02d\r\n" % (number % 100) * size)
                    held_bytes, _ = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                self.assertLess(held_bytes, 300_000)
                parser.feed(b"0\r\n\r\n")
                self.assertEqual(131_072, len(parser.answers[0].body))

    def test_tiny_chunks_are_passed_on_joined(self):
        """Guards against one call of the stream for each tiny chunk."""
        stream = mock.Mock()
        parser = answer_parser.AnswerParser(
            max_bytes=1_000_000, stream_factory=lambda: stream
        )
        parser.feed(OK + b"Transfer-Encoding: chunked\r\n\r\n")
        parser.feed(b"50000\r\n%s\r\n" % (b"a" * 0x50000))
        for _ in range(10):
            parser.feed(b"2\r\nab\r\n" * 1000)
        parts = [call.args[0] for call in stream.feed.call_args_list]
        self.assertEqual([b"ab" * 1000] * 10, parts)

    def test_informational_answer_is_dropped(self):
        """Guards against taking a 1xx for the final answer."""
        self.parser.feed(
            b"HTTP/1.1 100 Continue\r\n\r\n"
            + OK
            + b"Content-Length: 0\r\n\r\n"
        )
        self.assertEqual(
            [200], [answer.status for answer in self.parser.answers]
        )

    def test_bytes_that_are_no_answer(self):
        """Guards against accepting bytes that aren't HTTP."""
        with self.assertRaises(errors.TargetBadAnswer):
            self.parser.feed(b"\0\1\2 not http\r\n\r\n")

    def test_garbage_after_an_answer_closes_the_connection(self):
        """Guards against losing a complete answer to bytes after it."""
        self.parser.feed(OK + b"Content-Length: 1\r\n\r\na\0\0garbage")
        self.assertEqual(1, len(self.parser.answers))
        self.assertTrue(self.parser.closes)

    def test_answer_that_is_too_large(self):
        """Guards against buffering a body without a limit."""
        with self.assertRaises(errors.TargetBadAnswer):
            self.parser.feed(OK + b"Content-Length: 200\r\n\r\n" + b"x" * 200)

    def test_endless_bytes_without_a_body(self):
        """Guards against reading an endless head, chunk size or trailer."""
        chunked = OK + b"Transfer-Encoding: chunked\r\n\r\n"
        for name, begin, more in (
            ("status line", b"HTTP/1.1 200 ", b"a"),
            ("header name", OK, b"a"),
            ("header value", OK + b"X: ", b"a"),
            ("headers", OK, b"X: a\r\n"),
            ("informational", b"", b"HTTP/1.1 103 Hints\r\nX: a\r\n\r\n"),
            ("empty lines", b"", b"\r\n"),
            ("chunk extension", chunked + b"1;", b"a"),
            ("trailers", chunked + b"1\r\na\r\n0\r\n", b"X: a\r\n"),
        ):
            with self.subTest(name):
                parser = answer_parser.AnswerParser(max_bytes=100)
                block = more * (4096 // len(more))
                with self.assertRaises(errors.TargetBadAnswer):
                    parser.feed(begin)
                    for _ in range(20):
                        parser.feed(block)

    def test_header_lines_without_end(self):
        """Guards against memory for header lines far above their bytes."""
        parser = answer_parser.AnswerParser(max_bytes=100)
        parser.feed(OK)
        tracemalloc.start()
        try:
            with self.assertRaises(errors.AnswerLimitExceeded) as caught:
                for number in range(10):
                    parser.feed(b"%d: a\r\n" % number * 1000)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertEqual("head_lines", caught.exception.limit)
        self.assertLess(held_bytes, 100_000)

    def test_head_of_many_lines(self):
        """Guards against a limit that ordinary heads reach."""
        lines = b"X: a\r\n" * (answer_parser.MAX_HEAD_LINES - 1)
        self.parser.feed(OK + lines + b"Content-Length: 1\r\n\r\na")
        self.assertEqual(b"a", self.parser.answers[0].body)
        parser = answer_parser.AnswerParser(max_bytes=100)
        with self.assertRaises(errors.AnswerLimitExceeded):
            parser.feed(OK + lines + b"X: a\r\nContent-Length: 1\r\n\r\na")

    def test_all_parts_are_counted(self):
        """Guards against parts that cost time but are not counted."""
        self.parser.feed(
            b"HTTP/1.1 103 Hints\r\nX: a\r\n\r\n"
            + OK
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"1\r\na\r\n2\r\nbc\r\n0\r\nX-Late: b\r\n\r\n"
        )
        self.assertEqual(2 + 2 + 2, self.parser.part_count - 1)
        self.assertEqual(3, self.parser.content_bytes)

    def test_trailers_are_not_headers(self):
        """Guards against merging trailers into the headers."""
        self.parser.feed(
            OK
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"1\r\na\r\n0\r\nX-Late: b\r\n\r\n"
        )
        self.assertIsNone(self.parser.answers[0].header(b"x-late"))

    def test_protocol_switch_is_no_answer(self):
        """Guards against accepting a 101 that nobody requested."""
        for head in (b"Upgrade: x\r\nConnection: upgrade\r\n", b""):
            parser = answer_parser.AnswerParser(max_bytes=100)
            with self.assertRaises(errors.TargetBadAnswer):
                parser.feed(b"HTTP/1.1 101 Switching\r\n" + head + b"\r\n")
