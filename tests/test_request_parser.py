"""Tests of the parser of callers' requests."""

import unittest

from bench import front_fakes
from fuchsiacourse import errors
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import request_parser
from fuchsiacourse.front import route_table

HEAD = b"POST /orders/1?a=b HTTP/1.1\r\nHost: Callers.Example:80\r\n"


def limits(*, head: int, body: int) -> route_table.CallerLimits:
    """Returns limits in bytes."""
    return route_table.CallerLimits(
        max_head_bytes=head,
        max_body_bytes=body,
        head_timeout_s=3.0,
        idle_timeout_s=15.0,
    )


class RequestParserTest(unittest.TestCase):
    """Only requests with one reading may pass."""

    def setUp(self) -> None:
        self.clock = front_fakes.ManualClock()
        self.budget = body_budget.BodyBudget(max_bytes=8000)
        self.flows: list[bool] = []
        self.limits = limits(head=1000, body=5000)
        self.parser = request_parser.RequestParser(
            on_flow=self.flows.append,
            clock=self.clock,
            limits=lambda: self.limits,
            budget=self.budget,
        )

    def rejected(self, data: bytes) -> int:
        with self.assertRaises(errors.RequestRejected) as caught:
            self.parser.feed(data)
        self.assertEqual(0, len(self.parser.requests))
        return caught.exception.status

    def test_request_in_single_bytes(self):
        data = HEAD + b"Content-Length: 3\r\n\r\nabc"
        for number in range(len(data)):
            self.parser.feed(data[number : number + 1])
        request = self.parser.requests.popleft()
        self.assertEqual(b"abc", request.body)
        self.assertEqual(b"/orders/1?a=b", request.target)
        self.assertEqual("/orders/1", request.path)
        self.assertEqual("callers.example", request.host)
        self.assertFalse(self.parser.is_reading)

    def test_chunked_body(self):
        self.parser.feed(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(b"abcde", self.parser.requests[0].body)

    def test_empty_line_between_requests_timed_as_a_head(self):
        self.parser.feed(HEAD + b"\r\n")
        self.parser.feed(b"\r\n")
        self.assertFalse(self.parser.is_reading)
        self.clock.now_s += 2.0
        self.parser.feed(b"\r\n" + HEAD)
        self.assertEqual(self.clock.now_s, self.parser.head_started_s)
        self.parser.feed(b"\r\n")
        self.assertEqual(2, len(self.parser.requests))

    def test_trailers_taken_for_headers(self):
        headers = b"Transfer-Encoding: chunked\r\nX-A: %s\r\n" % (b"a" * 880)
        trailers = b"Host: other\r\nX-B: c\r\nX-C: %s\r\n" % (b"d" * 900)
        body = b"3\r\nabc\r\n0\r\n" + trailers + b"\r\n"
        self.parser.feed(HEAD + headers + b"\r\n" + body + HEAD)
        request = self.parser.requests.popleft()
        self.assertEqual(
            [b"host", b"transfer-encoding", b"x-a"],
            [name for name, _ in request.headers],
        )
        self.assertEqual(b"abc", request.body)

    def test_trailers_are_bounded(self):
        start = HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
        trailers = [b"X-%d: %s\r\n" % (i, b"v" * 50) for i in range(40)]
        self.assertEqual(431, self.rejected(start + b"".join(trailers)))
        self.setUp()
        self.parser.feed(start + b"X-A: ")
        piece = b"v" * 1000
        with self.assertRaises(errors.RequestRejected):
            for _ in range(100):
                self.parser.feed(piece)

    def test_pipelined_requests_keep_their_order(self):
        one = b"GET /orders/%d HTTP/1.1\r\nHost: h\r\n\r\n"
        self.parser.feed(one % 1 + one % 2)
        self.assertEqual(
            [b"/orders/1", b"/orders/2"],
            [request.target for request in self.parser.requests],
        )

    def test_offer_to_switch_protocols_rejected_with_the_next_request(self):
        offer = (
            b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
            b"HTTP2-Settings: AAEAAEAAAAIAAAAB\r\n"
        )
        chunks = b"Transfer-Encoding: chunked\r\n\r\n"
        data = b"".join(
            (
                HEAD + offer + b"\r\n",
                HEAD + offer + b"Content-Length: 3\r\n\r\nabc",
                HEAD + offer + chunks + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                HEAD + b"Content-Length: 1\r\n\r\nf",
            )
        )
        for size in range(1, len(data) + 1):
            with self.subTest(size=size):
                self.setUp()
                for start in range(0, len(data), size):
                    self.parser.feed(data[start : start + size])
                found = self.parser.requests
                self.assertEqual(
                    [b"", b"abc", b"abcde", b"f"],
                    [request.body for request in found],
                )
                self.assertTrue(all(item.keeps_alive for item in found))
                self.assertEqual({b"POST"}, {item.method for item in found})
                self.assertFalse(self.parser.is_reading)

    def test_offer_to_switch_protocols_keeps_the_time_of_its_first_byte(self):
        offer = HEAD + b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
        self.parser.feed(offer)
        started_s = self.clock.now_s
        self.clock.now_s += 2.0
        self.parser.feed(b"Content-Length: 1\r\n\r\n")
        self.assertEqual(started_s, self.parser.head_started_s)
        self.parser.feed(b"a")
        self.assertEqual(started_s, self.parser.requests[0].received_s)

    def test_body_hidden_behind_an_offer_is_no_request(self):
        offer = HEAD + b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
        hidden = b"GET /orders/2 HTTP/1.1\r\nHost: h\r\n\r\n"
        self.parser.feed(
            offer + b"Content-Length: %d\r\n\r\n" % len(hidden) + hidden
        )
        self.assertEqual([hidden], [r.body for r in self.parser.requests])

    def test_target_in_absolute_form_rejected_as_not_a_path(self):
        for target, path, host in (
            (b"http://h/orders/1?a=b", b"/orders/1?a=b", "h"),
            (b"HTTP://Callers.Example:80/", b"/", "callers.example"),
            (b"https://h:1/a//b?c=://i/d@e", b"/a//b?c=://i/d@e", "h"),
            (b"http://h", b"/", "h"),
            (b"http://h?a=b/c", b"/?a=b/c", "h"),
        ):
            with self.subTest(target=target):
                self.setUp()
                self.parser.feed(
                    b"GET %s HTTP/1.1\r\nA: b\r\nHost: other\r\n\r\n" % target
                )
                request = self.parser.requests[0]
                self.assertEqual(path, request.target)
                self.assertEqual(host, request.host)
                names = [name for name, _ in request.headers]
                self.assertEqual([b"a", b"host"], names)

    def test_unknown_method_rejected_as_malformed(self):
        for method in (b"LABEL", b"GETS", b"get", b"X-Y"):
            with self.subTest(method=method):
                self.setUp()
                line = b"%s /orders/1 HTTP/1.1\r\n" % method
                self.assertEqual(501, self.rejected(line + b"Host: h\r\n\r\n"))

    def test_tunnels_are_rejected(self):
        for target in (b"h:80", b"/orders/1"):
            with self.subTest(target=target):
                self.setUp()
                head = b"CONNECT %s HTTP/1.1\r\nHost: h\r\n\r\n" % target
                self.assertEqual(400, self.rejected(head))

    def test_ambiguous_lengths(self):
        for headers in (
            b"Content-Length: 3\r\nContent-Length: 3\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n",
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"Transfer-Encoding: xchunked\r\n",
            b"Content-Length: +3\r\n",
            b"Content-Length: 3, 3\r\n",
            b"Content-Length : 3\r\n",
        ):
            with self.subTest(headers=headers):
                self.setUp()
                data = HEAD + headers + b"\r\nabc0\r\n\r\n"
                self.assertEqual(400, self.rejected(data))

    def test_malformed_heads(self):
        for data in (
            b"GET http://u@h/orders/1 HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET http:///orders/1 HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET ftp://h/orders/1 HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET http://h/orders/1 HTTP/1.1\r\n\r\n",
            b"GET http://h/1 HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n",
            b"GET h/orders/1 HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET * HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET /orders/1 HTTP/1.1\r\n\r\n",
            b"GET /orders/1 HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
            b"GET /orders/1 HTTP/1.1\r\nHost: h\r\nA: b\r\n folded\r\n\r\n",
            b"GET /orders/1 HTTP/1.1\r\nHost: h\r\nA: b\0c\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        ):
            with self.subTest(data=data):
                self.setUp()
                self.assertEqual(400, self.rejected(data))

    def test_head_that_is_too_large(self):
        many = b"".join(b"X-%d: %s\r\n" % (i, b"v" * 50) for i in range(40))
        self.assertEqual(431, self.rejected(HEAD + many + b"\r\n"))

    def test_headers_rejected_because_of_a_long_target(self):
        host = b"Host: h\r\n"
        for header in (b"X-A: %s\r\n", b"X-A:%s\r\n"):
            value = b"v" * (1000 - len(host) - len(header % b""))
            line = b"GET /%s HTTP/1.1\r\n" % (b"a" * 7999)
            self.parser.feed(line + host + header % value + b"\r\n")
        self.assertEqual(8000, len(self.parser.requests[1].target))

    def test_headers_without_spaces_counted_with_them(self):
        headers = b"".join(b"A%02d:b\r\n" % number for number in range(99))
        head = b"GET / HTTP/1.1\r\nHost:h\r\n" + headers
        self.limits = limits(head=len(headers) + 8, body=0)
        self.parser.feed(head + b"\r\n")
        self.assertEqual(100, len(self.parser.requests[0].headers))
        self.setUp()
        self.limits = limits(head=len(headers) + 8, body=0)
        self.assertEqual(431, self.rejected(head + b"A:\r\n\r\n"))

    def test_target_that_is_too_long(self):
        line = b"GET /%s HTTP/1.1\r\n" % (b"a" * 8000)
        self.assertEqual(414, self.rejected(line + b"Host: h\r\n\r\n"))

    def test_many_requests_in_one_piece_rejected_as_an_endless_head(self):
        one = b"GET /orders/1 HTTP/1.1\r\nHost: h\r\n\r\n"
        self.parser.feed(one * 7000)
        self.parser.feed(one[:-2])
        self.parser.feed(one[-2:])
        self.assertEqual(7001, len(self.parser.requests))

    def test_endless_header_is_stopped(self):
        status = 0
        for _ in range(200):
            try:
                self.parser.feed(b"X" * 1000 if status else HEAD + b"X-A: ")
            except errors.RequestRejected as error:
                status = error.status
                break
            status = 1
        self.assertEqual(431, status)

    def test_body_that_is_too_large(self):
        self.assertEqual(
            413, self.rejected(HEAD + b"Content-Length: 5001\r\n\r\n")
        )
        self.setUp()
        chunk = b"fff\r\n" + b"x" * 0xFFF + b"\r\n"
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(413, self.rejected(head + chunk * 2))

    def test_request_rejected_by_limits_older_than_its_connection(self):
        self.limits = limits(head=100, body=10)
        self.parser.feed(HEAD + b"\r\n")
        self.limits = limits(head=1000, body=100)
        large = HEAD + b"X-A: %s\r\n" % (b"a" * 500)
        self.parser.feed(large + b"Content-Length: 50\r\n\r\n" + b"b" * 50)
        self.assertEqual(b"b" * 50, self.parser.requests[1].body)

    def test_request_rejected_by_limits_that_changed_while_it_came(self):
        large = HEAD + b"X-A: %s\r\n" % (b"a" * 500)
        body = b"Transfer-Encoding: chunked\r\n\r\n32\r\n" + b"b" * 50
        for first, then in ((1000, 100), (100, 1000)):
            with self.subTest(first=first, then=then):
                self.setUp()
                self.limits = limits(head=first, body=first // 4)
                self.parser.feed(large[:20])
                self.limits = limits(head=then, body=then // 4)
                self.parser.feed(large[20:] + body + b"\r\n0\r\n\r\n")
                self.assertEqual(b"b" * 50, self.parser.requests[0].body)

    def test_limits_that_shrank_hold_for_the_next_request(self):
        self.parser.feed(HEAD + b"\r\n")
        self.parser.requests.clear()
        self.limits = limits(head=1000, body=10)
        self.assertEqual(
            413, self.rejected(HEAD + b"Content-Length: 11\r\n\r\n")
        )

    def test_bodies_share_a_bounded_memory(self):
        self.assertTrue(self.budget.reserve(6000))
        head = HEAD + b"Content-Length: 4000\r\n\r\n"
        self.assertEqual(503, self.rejected(head + b"x" * 4000))
        self.parser.close()
        self.assertTrue(self.budget.reserve(2000))
        self.assertFalse(self.budget.reserve(1))

    def test_memory_of_what_was_not_taken_comes_back(self):
        head = HEAD + b"Content-Length: 4000\r\n\r\n"
        self.parser.feed(head + b"x" * 4000 + head + b"x" * 1000)
        self.assertFalse(self.budget.reserve(3001))
        self.parser.close()
        self.assertTrue(self.budget.reserve(8000))

    def test_time_of_the_first_byte_is_kept(self):
        self.parser.feed(HEAD)
        started_s = self.clock.now_s
        self.clock.now_s += 2.0
        self.parser.feed(b"\r\n")
        self.assertEqual(started_s, self.parser.requests[0].received_s)
