"""Tests of fuchsiacourse.front.request_parser."""

import unittest

from bench import front_fakes
from fuchsiacourse import errors
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import request_parser
from fuchsiacourse.front import route_table
from fuchsiacourse.front import work_meter
from fuchsiacourse.front import work_share

HEAD = b"POST /orders/1?a=b HTTP/1.1\r\nHost: Callers.Example:80\r\n"


def limits(*, head: int, body: int) -> route_table.CallerLimits:
    """Returns limits for the head and the body, in bytes."""
    return route_table.CallerLimits(
        max_head_bytes=head,
        max_body_bytes=body,
        head_timeout_s=3.0,
        idle_timeout_s=15.0,
    )


class RequestParserTest(unittest.TestCase):
    """Only unambiguous requests may pass, and within the limits."""

    def setUp(self) -> None:
        self.clock = front_fakes.ManualClock()
        self.budget = body_budget.BodyBudget(max_bytes=8000)
        self.flows: list[bool] = []
        self.limits = limits(head=1000, body=5000)
        self.meter = work_meter.WorkMeter(
            clock=self.clock, share=work_share.WorkShare(clock=self.clock)
        )
        self.parser = request_parser.RequestParser(
            meter=self.meter,
            charge=self.meter.charge,
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
        """Guards against a result that depends on how the bytes arrive."""
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
        """Guards against chunk framing left in the body."""
        self.parser.feed(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(b"abcde", self.parser.requests[0].body)

    def test_empty_line_between_requests_starts_no_timeout(self):
        """Guards against starting the timeout of a head at an empty line."""
        self.parser.feed(HEAD + b"\r\n")
        self.parser.feed(b"\r\n")
        self.assertFalse(self.parser.is_reading)
        self.clock.now_s += 2.0
        self.parser.feed(b"\r\n" + HEAD)
        self.assertEqual(self.clock.now_s, self.parser.head_started_s)
        self.parser.feed(b"\r\n")
        self.assertEqual(2, len(self.parser.requests))

    def test_trailers_are_not_headers(self):
        """Guards against trailers that count or act as headers."""
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
        """Guards against endless trailers."""
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
        """Guards against reordered pipelined requests."""
        one = b"GET /orders/%d HTTP/1.1\r\nHost: h\r\n\r\n"
        self.parser.feed(one % 1 + one % 2)
        self.assertEqual(
            [b"/orders/1", b"/orders/2"],
            [request.target for request in self.parser.requests],
        )

    def test_upgrade_offer_is_ignored_and_requests_follow(self):
        """Guards against misreading requests after an upgrade offer."""
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

    def test_upgrade_offer_keeps_the_time_of_its_first_byte(self):
        """Guards against restarting the timeout with the second parse."""
        offer = HEAD + b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
        self.parser.feed(offer)
        started_s = self.clock.now_s
        self.clock.now_s += 2.0
        self.parser.feed(b"Content-Length: 1\r\n\r\n")
        self.assertEqual(started_s, self.parser.head_started_s)
        self.parser.feed(b"a")
        self.assertEqual(started_s, self.parser.requests[0].received_s)

    def test_body_after_an_upgrade_offer_is_no_request(self):
        """Guards against smuggling a request in a body."""
        offer = HEAD + b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
        hidden = b"GET /orders/2 HTTP/1.1\r\nHost: h\r\n\r\n"
        self.parser.feed(
            offer + b"Content-Length: %d\r\n\r\n" % len(hidden) + hidden
        )
        self.assertEqual([hidden], [r.body for r in self.parser.requests])

    def test_target_in_absolute_form_is_accepted(self):
        """Guards against rejecting or misrouting absolute-form targets."""
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

    def test_unknown_method_is_not_implemented(self):
        """Guards against a 400 for a method that is only unknown."""
        for method in (b"LABEL", b"GETS", b"get", b"X-Y"):
            with self.subTest(method=method):
                self.setUp()
                line = b"%s /orders/1 HTTP/1.1\r\n" % method
                self.assertEqual(501, self.rejected(line + b"Host: h\r\n\r\n"))

    def test_tunnels_are_rejected(self):
        """Guards against forwarding CONNECT."""
        for target in (b"h:80", b"/orders/1"):
            with self.subTest(target=target):
                self.setUp()
                head = b"CONNECT %s HTTP/1.1\r\nHost: h\r\n\r\n" % target
                self.assertEqual(400, self.rejected(head))

    def test_ambiguous_lengths(self):
        """Guards against request smuggling by an ambiguous length."""
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
        """Guards against accepting a head that targets may read otherwise."""
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
        """Guards against a head beyond the limit."""
        many = b"".join(b"X-%d: %s\r\n" % (i, b"v" * 50) for i in range(40))
        self.assertEqual(431, self.rejected(HEAD + many + b"\r\n"))

    def test_header_lines_are_limited_by_count(self):
        """Guards against a head of tiny lines that goes on and on."""
        self.limits = limits(head=1_000_000, body=0)
        lines = b"a:\r\n" * 999
        self.parser.feed(HEAD + lines + b"\r\n")
        self.assertEqual(1000, len(self.parser.requests[0].headers))
        self.setUp()
        self.limits = limits(head=1_000_000, body=0)
        self.assertEqual(431, self.rejected(HEAD + lines + b"a:\r\n\r\n"))

    def test_trailers_are_parts(self):
        """Guards against tiny trailers that cost nothing."""
        self.limits = limits(head=1_000_000, body=10)
        start = HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
        self.parser.feed(start + b"a:\r\n" * 5000 + b"\r\n")
        self.assertGreaterEqual(self.meter.parts, 5000)

    def test_long_target_does_not_count_as_headers(self):
        """Guards against counting the target toward the limit of headers."""
        host = b"Host: h\r\n"
        for header in (b"X-A: %s\r\n", b"X-A:%s\r\n"):
            value = b"v" * (1000 - len(host) - len(header % b""))
            line = b"GET /%s HTTP/1.1\r\n" % (b"a" * 7999)
            self.parser.feed(line + host + header % value + b"\r\n")
        self.assertEqual(8000, len(self.parser.requests[1].target))

    def test_optional_spaces_do_not_count_as_headers(self):
        """Guards against counting optional spaces toward the limit."""
        headers = b"".join(b"A%02d:b\r\n" % number for number in range(99))
        head = b"GET / HTTP/1.1\r\nHost:h\r\n" + headers
        self.limits = limits(head=len(headers) + 8, body=0)
        self.parser.feed(head + b"\r\n")
        self.assertEqual(100, len(self.parser.requests[0].headers))
        self.setUp()
        self.limits = limits(head=len(headers) + 8, body=0)
        self.assertEqual(431, self.rejected(head + b"A:\r\n\r\n"))

    def test_target_that_is_too_long(self):
        """Guards against a target beyond the limit."""
        line = b"GET /%s HTTP/1.1\r\n" % (b"a" * 8000)
        self.assertEqual(414, self.rejected(line + b"Host: h\r\n\r\n"))

    def test_many_requests_in_one_piece_are_no_endless_head(self):
        """Guards against taking pipelined requests for an endless head."""
        one = b"GET /orders/1 HTTP/1.1\r\nHost: h\r\n\r\n"
        self.parser.feed(one * 7000)
        self.parser.feed(one[:-2])
        self.parser.feed(one[-2:])
        self.assertEqual(7001, len(self.parser.requests))

    def test_endless_header_is_stopped(self):
        """Guards against buffering a header that never ends."""
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
        """Guards against a body beyond the limit, chunked or not."""
        self.assertEqual(
            413, self.rejected(HEAD + b"Content-Length: 5001\r\n\r\n")
        )
        self.setUp()
        chunk = b"fff\r\n" + b"x" * 0xFFF + b"\r\n"
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(413, self.rejected(head + chunk * 2))

    def test_raised_limits_apply_to_an_open_connection(self):
        """Guards against keeping limits for the life of a connection."""
        self.limits = limits(head=100, body=10)
        self.parser.feed(HEAD + b"\r\n")
        self.limits = limits(head=1000, body=100)
        large = HEAD + b"X-A: %s\r\n" % (b"a" * 500)
        self.parser.feed(large + b"Content-Length: 50\r\n\r\n" + b"b" * 50)
        self.assertEqual(b"b" * 50, self.parser.requests[1].body)

    def test_limits_that_change_during_a_request(self):
        """Guards against rejecting what either set of limits allows."""
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

    def test_lowered_limits_apply_to_the_next_request(self):
        """Guards against keeping limits that have been lowered."""
        self.parser.feed(HEAD + b"\r\n")
        self.parser.requests.clear()
        self.limits = limits(head=1000, body=10)
        self.assertEqual(
            413, self.rejected(HEAD + b"Content-Length: 11\r\n\r\n")
        )

    def test_bodies_share_a_memory_budget(self):
        """Guards against exceeding the memory budget for bodies."""
        self.assertTrue(self.budget.reserve(6000))
        head = HEAD + b"Content-Length: 4000\r\n\r\n"
        self.assertEqual(503, self.rejected(head + b"x" * 4000))
        self.parser.close()
        self.assertTrue(self.budget.reserve(2000))
        self.assertFalse(self.budget.reserve(1))

    def test_memory_of_unserved_requests_is_released(self):
        """Guards against a leak of memory when a connection closes."""
        head = HEAD + b"Content-Length: 4000\r\n\r\n"
        self.parser.feed(head + b"x" * 4000 + head + b"x" * 1000)
        self.assertFalse(self.budget.reserve(3001))
        self.parser.close()
        self.assertTrue(self.budget.reserve(8000))

    def test_time_of_the_first_byte_is_kept(self):
        """Guards against measuring a request from the end of its head."""
        self.parser.feed(HEAD)
        started_s = self.clock.now_s
        self.clock.now_s += 2.0
        self.parser.feed(b"\r\n")
        self.assertEqual(started_s, self.parser.requests[0].received_s)
