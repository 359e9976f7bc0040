"""Tests of the logs and metrics of rejected requests."""

import asyncio
import unittest

import structlog

from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import caller_server
from fuchsiacourse.front import front_metrics
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import rejection_log
from fuchsiacourse import system_clock

IP = "127.0.0.1"
ID = b"X-Fuchsiacourse-Request-Id: q7\r\n"


class RejectionLogTest(unittest.TestCase):
    """Guards against rejections without a complete log line and a count."""

    def setUp(self) -> None:
        self.clock = front_fakes.ManualClock()
        self.metrics = front_metrics.FrontMetrics(gauges=dict)

    def rejected(self, path: str = "/other/1", **fields) -> dict:
        with structlog.testing.capture_logs() as lines:
            rejections = front_fakes.rejections(
                clock=self.clock,
                metrics=self.metrics,
                log=structlog.get_logger(),
            )
            rejections.set_config(front_fakes.config(version=7))
            self.clock.now_s += 2.5
            rejections.record_rejection(
                front_fakes.request(path, id="q9"),
                404,
                "no such route",
                **fields,
            )
        (line,) = lines
        return line

    def test_line_names_the_request_and_the_configuration(self):
        """Guards against rejections that can't be explained from the logs."""
        line = self.rejected(port=8000, served=3, max_head_bytes=4096)
        expected = {
            "event": "request_rejected",
            "request_id": "q9",
            "host": front_fakes.HOST,
            "path": "/other/1",
            "status": 404,
            "reason": "no such route",
            "served": 3,
            "max_head_bytes": 4096,
            "config_version": 7,
            "config_age_s": 2.5,
        }
        self.assertEqual(line, {**line, **expected})

    def test_long_path_is_truncated(self):
        line = self.rejected("/" + "x" * 5000)
        self.assertEqual(rejection_log.MAX_PATH_CHARS, len(line["path"]))

    def test_rejections_are_counted(self):
        self.rejected()
        self.rejected()
        self.assertIn(
            b'front_rejections_total{status="404",reason="no such route"} 2',
            self.metrics.render(),
        )


class RejectionsOfForwarderTest(unittest.TestCase):
    """Guards against unroutable requests that are not counted."""

    def test_unknown_route_and_missing_id(self):
        async def main():
            front = front_fakes.forwarder(front_fakes.FakeSender(None))
            front.config = front_fakes.config(front_fakes.route())
            for request in (
                front_fakes.request("/other/1"),
                front_fakes.request(id=""),
            ):
                await front.handle(request, caller_presence.CallerPresence())
            return front.metrics.render()

        text = virtual_loop.run(main())
        self.assertIn(b'status="404",reason="no such route"} 1', text)
        self.assertIn(b'status="400",reason="no request id"} 1', text)


class RejectionsOfConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against unreadable requests that are not logged."""

    async def answer(self, data: bytes) -> tuple[bytes, list[dict]]:
        async def handle(request, presence):
            return http_answer.HttpAnswer(status=200, headers=[])

        with structlog.testing.capture_logs() as lines:
            server = caller_server.CallerServer(
                clock=system_clock.SystemClock(),
                address=(IP, 0),
                handler=handle,
                limits=lambda: front_fakes.config().limits,
                budget=body_budget.BodyBudget(),
                rejections=front_fakes.rejections(log=structlog.get_logger()),
                on_error=self.fail,
            )
            await server.start()
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(data)
            answer = await reader.read()
            writer.close()
            server.stop_listening()
        return answer, lines

    async def test_head_and_body_above_the_limits(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\n" + ID
        for status, data in (
            (431, head + b"X-Long: " + b"x" * 5000 + b"\r\n\r\n"),
            (413, head + b"Content-Length: 100001\r\n\r\n"),
        ):
            answer, (line,) = await self.answer(data)
            self.assertIn(b" %d " % status, answer)
            self.assertEqual(status, line["status"])
            self.assertEqual("q7", line["request_id"])
            self.assertEqual(4096, line["max_head_bytes"])
            self.assertEqual(100_000, line["max_body_bytes"])

    async def test_malformed_second_request(self):
        """Guards against a lost count of earlier requests on a connection."""
        get = b"GET /a HTTP/1.1\r\nHost: h\r\n" + ID + b"\r\n"
        _, (line,) = await self.answer(get + b"nonsense\r\n\r\n")
        self.assertEqual((400, 1), (line["status"], line["served"]))
