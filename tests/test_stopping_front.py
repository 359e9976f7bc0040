"""Tests of the requests of a front that shuts down, on virtual time."""

import asyncio
import unittest

from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse.front import body_stream
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import outcome
from fuchsiacourse.front import stop_schedule


class StoppingFrontTest(unittest.TestCase):
    """Guards against untrue answers and attempts at the end of a stop."""

    def handle(self, behave, *, sent_after_s=None, ends_after_s=None):
        """Handles a request of a front that has begun to stop.

        Args:
            behave: Behaviour of the targets, see front_fakes.FakeSender.
            sent_after_s: Seconds from the begin of the stop to the request,
                None if it doesn't stop.
            ends_after_s: Seconds until all runs are ended, None if never.

        Returns:
            The answer, the seconds that it took and the sender.
        """

        async def main():
            sender = front_fakes.FakeSender(behave)
            front = front_fakes.forwarder(
                sender, *(front_fakes.record(f"t{i}") for i in range(3))
            )
            front.config = front_fakes.config(
                front_fakes.route(is_idempotent=False, timeout_s=20.0)
            )
            if sent_after_s is not None:
                front.stop.begin()
                await asyncio.sleep(sent_after_s)
            if ends_after_s is not None:
                asyncio.get_running_loop().call_later(
                    ends_after_s, front.end_runs
                )
            began_s = front.clock.now()
            answer = await front.handle(
                front_fakes.request(received_s=began_s, deadline_ms=20_000),
                caller_presence.CallerPresence(),
            )
            return answer, front.clock.now() - began_s, sender

        return virtual_loop.run(main())

    def test_late_request_is_refused_at_once(self):
        """Guards against sending on a request that can't be finished."""
        answer, took_s, sender = self.handle(
            None, sent_after_s=stop_schedule.SERVE_S
        )
        self.assertEqual((503, 0.0), (answer.status, took_s))
        self.assertEqual([], sender.sent_ids)
        self.assertIn(b"retry-after", dict(answer.headers))

    def test_earlier_request_is_served(self):
        """Guards against refusing callers whose address list is old."""
        answer, _, _ = self.handle(
            lambda target, count: (0.2, front_fakes.answered()),
            sent_after_s=stop_schedule.SERVE_S - 0.1,
        )
        self.assertEqual(200, answer.status)

    def test_request_at_work_may_have_run(self):
        """Guards against "not run" for a request that a target runs."""
        answer, took_s, sender = self.handle(
            lambda target, count: (1.0, front_fakes.answered()),
            ends_after_s=0.3,
        )
        self.assertEqual(504, answer.status)
        self.assertAlmostEqual(0.3, took_s)

    def test_declined_request_has_not_run(self):
        """Guards against "may have run" for a request that nobody took."""
        answer, _, sender = self.handle(
            lambda target, count: (
                0.01,
                front_fakes.result(outcome.Outcome.DECLINED, 503),
            ),
            ends_after_s=0.025,
        )
        self.assertEqual(503, answer.status)
        self.assertLess(len(sender.sent_ids), 4)

    def test_failed_request_is_not_tried_again_at_the_end(self):
        """Guards against an attempt that the exit would cut off."""
        exit_s = front_fakes.bounds().stop_s - stop_schedule.EXIT_MARGIN_S
        answer, _, sender = self.handle(
            lambda target, count: (
                exit_s - stop_schedule.SERVE_S,
                front_fakes.result(outcome.Outcome.DECLINED, 503),
            ),
            sent_after_s=stop_schedule.SERVE_S - 0.1,
        )
        self.assertEqual(503, answer.status)
        self.assertEqual(1, len(sender.sent_ids))

    def end_upload(self, *, ends_after_s: float, work_s: float = 4.0):
        """Handles a request whose body is forwarded while it comes.

        Args:
            ends_after_s: Seconds from the begin of the stop to its end.
            work_s: Seconds from its first byte to the target's answer.

        Returns:
            The answer and the seconds that it took.
        """

        async def main():
            front = front_fakes.forwarder(
                front_fakes.FakeSender(
                    lambda target, count: (work_s, front_fakes.answered())
                ),
                front_fakes.record("t1"),
            )
            front.config = front_fakes.config(
                front_fakes.route(is_idempotent=False, timeout_s=20.0)
            )
            front.stop.begin()
            began_s = front.clock.now()
            rest = body_stream.BodyStream(
                on_flow=lambda is_paused: None, on_close=lambda: None
            )
            request = front_fakes.request(
                received_s=began_s, deadline_ms=20_000
            )
            request.rest = rest
            handled = asyncio.ensure_future(
                front.handle(request, caller_presence.CallerPresence())
            )
            asyncio.get_running_loop().call_later(ends_after_s, rest.end)
            while not handled.done():
                front.end_late_uploads()
                await asyncio.sleep(0.05)
            return handled.result(), front.clock.now() - began_s

        return virtual_loop.run(main())

    def test_forwarded_upload_that_comes_in_time_is_finished(self):
        """Guards against ending a body that still fits."""
        answer, took_s = self.end_upload(ends_after_s=1.0)
        self.assertEqual(200, answer.status)
        self.assertAlmostEqual(4.0, took_s, delta=0.1)

    def test_forwarded_upload_that_comes_too_late_is_ended(self):
        """Guards against reading a body whose answer the exit cuts off."""
        answer, took_s = self.end_upload(ends_after_s=5.5, work_s=6.0)
        self.assertEqual(504, answer.status)
        self.assertLess(took_s, 5.15)
