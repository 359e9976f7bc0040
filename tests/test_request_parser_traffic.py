"""Tests the request parser with random valid and invalid requests."""

import random
import string
import unittest

from bench import front_fakes
from fuchsiacourse import errors
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import request_parser
from fuchsiacourse.front import route_table
from fuchsiacourse.front import work_meter
from fuchsiacourse.front import work_share

CONNECTIONS = 200
MAX_HEAD_BYTES = 2000
MAX_BODY_BYTES = 3000
METHODS = (
    b"GET HEAD POST PUT DELETE OPTIONS TRACE PATCH PURGE QUERY REPORT "
    b"PROPFIND M-SEARCH LOCK MERGE SEARCH"
).split()
# Characters allowed in a path and a query (RFC 3986, 3.3 and 3.4).
PATH = (string.ascii_letters + string.digits + "-._~!$&'()*+,;=:@/").encode()
QUERY = PATH + b"?"
TOKEN = (string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~").encode()
VALUE = bytes(range(0x21, 0x7F)) + bytes(range(0x80, 0x100)) + b" \t"
OFFER = (b"Connection", b"Upgrade"), (b"uPgrade", b"h2c")
HEAD = b"POST /orders/1 HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
INVALID_REQUESTS = (
    HEAD + b"Host: h\r\n\r\n",
    HEAD + b"host: i\r\n\r\n",
    b"GET /orders/1 HTTP/1.1\r\n\r\n",
    b"GET http://h/orders/1 HTTP/1.1\r\n\r\n",
    b"GET orders/1 HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /orders/1 HTTP/1.1\nHost: h\n\n",
    b"GET /orders 1 HTTP/1.1\r\nHost: h\r\n\r\n",
    HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    HEAD + b"Content-Length: -3\r\n\r\nabc",
    HEAD + b"Content-Length: 3,3\r\n\r\nabc",
    HEAD + b"Content-Length: 0x3\r\n\r\nabc",
    HEAD + b"Content-Length:\r\n\r\n",
    CHUNKED + b"Content-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
    CHUNKED + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
    HEAD + b"Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
    HEAD + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
    CHUNKED + b"\r\n3\r\nabcd\r\n0\r\n\r\n",
    CHUNKED + b"\r\n-3\r\nabc\r\n0\r\n\r\n",
    CHUNKED + b"\r\n0x3\r\nabc\r\n0\r\n\r\n",
    CHUNKED + b"\r\n3\nabc\r\n0\r\n\r\n",
    CHUNKED + b"\r\n0\r\nContent-Length: 3\r\n\r\n",
    HEAD + b"X-A: b\r\n folded\r\n\r\n",
    HEAD + b"X-A: b\0c\r\n\r\n",
    HEAD + b"X-A: b\rc\r\n\r\n",
    HEAD + b"X A: b\r\n\r\n",
    HEAD + b": b\r\n\r\n",
    HEAD + b"X-A: %s\r\n\r\n" % (b"b" * MAX_HEAD_BYTES),
    HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1),
    b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
)


class RandomRequest:
    """A random valid request and what the parser must make of it.

    Args:
        rng: Source of randomness.
        is_last: Whether it may close the connection.
    """

    def __init__(self, *, rng: random.Random, is_last: bool) -> None:
        self.rng = rng
        self.is_1_1 = rng.random() < 0.8
        self.closes = is_last and rng.random() < 0.5
        self.method = rng.choice(METHODS)
        self.target = b"/" + self.random_word(PATH, 60)
        if rng.random() < 0.4:
            self.target += b"?" + self.random_word(QUERY, 60)
        self.headers: list[tuple[bytes, bytes]] = []
        self.add_connection()
        self.body = rng.randbytes(rng.choice((0, 0, 1, 50, MAX_BODY_BYTES)))
        self.encoded_body = self.encode_body()
        self.add_host()
        self.add_random_headers()
        rng.shuffle(self.headers)

    def random_word(
        self, letters: bytes, max_bytes: int, min_bytes: int = 0
    ) -> bytes:
        """Returns a random word of the given letters."""
        count = self.rng.randint(min_bytes, max_bytes)
        return bytes(self.rng.choices(letters, k=count))

    def add_connection(self) -> None:
        """Adds a header that keeps, closes or upgrades the connection."""
        if self.closes and (self.is_1_1 or self.rng.random() < 0.5):
            self.headers.append((b"Connection", b"close"))
        elif not self.is_1_1 and not self.closes:
            self.headers.append((b"Connection", b"keep-alive"))
        elif self.is_1_1 and self.rng.random() < 0.2:
            self.headers.extend(OFFER)

    def encode_body(self) -> bytes:
        """Returns the encoded body and adds its framing header."""
        rng = self.rng
        if self.is_1_1 and rng.random() < 0.2:
            self.headers.append((b"Expect", b"100-Continue"))
        if self.is_1_1 and rng.random() < 0.5:
            coding = rng.choice((b"chunked", b"Chunked"))
            self.headers.append((b"Transfer-Encoding", coding))
            return self.chunks()
        if self.body or rng.random() < 0.3:
            self.headers.append((b"Content-Length", b"%d" % len(self.body)))
        return self.body

    def chunks(self) -> bytes:
        """Returns the body chunked, with random extensions and trailers."""
        rng = self.rng
        parts = []
        start = 0
        while start < len(self.body):
            part = self.body[start : start + rng.randint(1, 2000)]
            start += len(part)
            size = rng.choice((b"%x", b"%X", b"00%x")) % len(part)
            extension = rng.choice((b"", b";a", b";a=b", b';a="b;c\\"d"'))
            parts.append(size + extension + b"\r\n" + part + b"\r\n")
        trailers = [
            self.line(
                (
                    b"X-" + self.random_word(TOKEN, 9),
                    self.random_word(VALUE, 300),
                )
            )
            for _ in range(rng.choice((0, 0, 1, 3)))
        ]
        return b"".join((*parts, b"0\r\n", *trailers, b"\r\n"))

    def add_host(self) -> None:
        """Adds the Host header, sometimes overridden by the target."""
        self.host = self.rng.choice((b"h", b"Callers.Example", b"h:8080"))
        self.sent_target = self.target
        sent_host = self.host
        if self.rng.random() < 0.2:
            self.sent_target = b"http://" + self.host + self.target
            sent_host = b"other"
        self.headers.append((b"Host", sent_host))

    def add_random_headers(self) -> None:
        """Adds random headers up to the limit."""
        left = MAX_HEAD_BYTES - sum(
            len(name) + len(value) + 4 for name, value in self.headers
        )
        count = self.rng.choice((0, 3, 10, 300))
        while count and left > 40:
            name = b"X" + self.random_word(TOKEN, 20)
            value = self.random_word(VALUE, min(left - 40, 200)).strip(b" \t")
            self.headers.append((name, value))
            left -= len(name) + len(value) + 4
            count -= 1
        if count:
            self.headers.append((b"Pad", b"p" * (left - 7)))

    def line(self, header: tuple[bytes, bytes]) -> bytes:
        """Returns a header line with random optional whitespace."""
        name, value = header
        space = self.rng.choice((b"", b" ", b" ", b"\t "))
        return name + b":" + space + value + b"\r\n"

    def encode(self) -> bytes:
        """Returns the bytes of the request."""
        version = b"1.1" if self.is_1_1 else b"1.0"
        line = b"%s %s HTTP/%s\r\n" % (self.method, self.sent_target, version)
        lines = [self.line(header) for header in self.headers]
        return b"".join((line, *lines, b"\r\n", self.encoded_body))

    def expected_fields(self) -> tuple:
        """Returns the fields that the parser must read."""
        headers = [
            (name.lower(), self.host if name == b"Host" else value)
            for name, value in self.headers
            if name != b"uPgrade"
        ]
        return (
            self.method,
            self.target,
            headers,
            self.body,
            not self.closes,
            self.is_1_1,
        )


def parsed_fields(parser: request_parser.RequestParser) -> list[tuple]:
    """Returns the fields of the requests that a parser has queued."""
    return [
        (
            request.method,
            request.target,
            request.headers,
            request.body,
            request.keeps_alive,
            request.accepts_chunked,
        )
        for request in parser.requests
    ]


class RandomTrafficTest(unittest.TestCase):
    """Valid requests pass unchanged, invalid ones are rejected."""

    def new_parser(self) -> request_parser.RequestParser:
        limits = route_table.CallerLimits(
            max_head_bytes=MAX_HEAD_BYTES,
            max_body_bytes=MAX_BODY_BYTES,
            head_timeout_s=3.0,
            idle_timeout_s=15.0,
        )
        clock = front_fakes.ManualClock()
        meter = work_meter.WorkMeter(
            clock=clock, share=work_share.WorkShare(clock=clock)
        )
        return request_parser.RequestParser(
            on_flow=self.fail,
            clock=clock,
            meter=meter,
            charge=meter.charge,
            limits=lambda: limits,
            budget=body_budget.BodyBudget(max_bytes=10 * MAX_BODY_BYTES),
        )

    def feed(self, parser, data: bytes, rng: random.Random) -> None:
        largest = rng.choice((1, 3, 50, 5000, len(data)))
        start = 0
        while start < len(data):
            end = start + rng.randint(1, largest)
            parser.feed(data[start:end])
            start = end

    def test_valid_requests_pass_unchanged(self):
        """Guards against requests that are rejected or altered."""
        for seed in range(CONNECTIONS):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                parser = self.new_parser()
                count = rng.randint(1, 8)
                sent = [
                    RandomRequest(rng=rng, is_last=number == count - 1)
                    for number in range(count)
                ]
                data = b"".join(request.encode() for request in sent)
                self.feed(parser, data, rng)
                self.assertEqual(
                    [request.expected_fields() for request in sent],
                    parsed_fields(parser),
                )
                self.assertFalse(parser.is_reading)

    def test_invalid_requests_are_rejected(self):
        """Guards against accepting an invalid request among valid ones."""
        for seed in range(CONNECTIONS):
            invalid = INVALID_REQUESTS[seed % len(INVALID_REQUESTS)]
            with self.subTest(seed=seed, invalid=invalid):
                rng = random.Random(seed)
                parser = self.new_parser()
                sent = [
                    RandomRequest(rng=rng, is_last=False)
                    for _ in range(rng.randint(0, 4))
                ]
                valid = b"".join(request.encode() for request in sent)
                after = b"GET /orders/2 HTTP/1.1\r\nHost: h\r\n\r\n"
                with self.assertRaises(errors.RequestRejected):
                    self.feed(parser, valid + invalid + after, rng)
                self.assertEqual(
                    [request.expected_fields() for request in sent],
                    parsed_fields(parser),
                )
