"""Tests of the 503 in place of a rejection by limits that may be stale."""

import types
import unittest
from unittest import mock

from bench import front_fakes
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import caller_connection
from fuchsiacourse.front import route_table
from fuchsiacourse.front import work_share

LIMITS = route_table.CallerLimits(
    max_head_bytes=10_000,
    max_body_bytes=2000,
    head_timeout_s=5.0,
    idle_timeout_s=5.0,
)


class StaleLimitsTest(unittest.TestCase):
    """A 503 because of stale limits must state when to retry."""

    def answer(self, data: bytes) -> bytes:
        """Returns what a server with a stale configuration writes."""
        server = types.SimpleNamespace(
            clock=front_fakes.ManualClock(),
            budget=body_budget.BodyBudget(),
            work=work_share.WorkShare(clock=front_fakes.ManualClock()),
            limits=LIMITS,
            is_config_current=False,
            is_stopping=False,
            add_connection=lambda connection: None,
            record_rejection=lambda request, rejection, **options: None,
        )
        transport = mock.Mock()
        connection = caller_connection.CallerConnection(server=server)
        connection.connection_made(transport)
        connection.data_received(data)
        return b"".join(call.args[0] for call in transport.write.mock_calls)

    def test_refusal_by_stale_limits_has_a_retry_after(self):
        """Guards against a 503 without Retry-After."""
        answer = self.answer(
            b"PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2001\r\n\r\n"
        )
        self.assertIn(b" 503 ", answer)
        self.assertIn(b"retry-after:", answer.lower())

    def test_fixed_limits_are_never_stale(self):
        """Guards against inviting back a request with too many lines."""
        lines = b"a:\r\n" * 1100
        answer = self.answer(b"GET /1 HTTP/1.1\r\nHost: h\r\n" + lines)
        self.assertIn(b" 431 ", answer)
