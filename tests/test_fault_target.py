"""Tests of the faulty targets of the fault soak."""

import asyncio
import random
import unittest

from bench import fault_checker
from bench import fault_target
from bench import fault_wire
from bench import front_fakes

IP = "127.0.0.1"
PATH = "/safe-x/q1"
ID_FIELD = "x-fuchsiacourse-request-id"
SIGNATURE = "x-fuchsiacourse-response-signature"
MANY_BYTES = 300_000


class FaultTargetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against modes that cause other faults than they name."""

    async def asyncSetUp(self) -> None:
        clock = front_fakes.ManualClock()
        self.checker = fault_checker.FaultChecker(clock=clock)
        self.checker.services_by_path["safe-x"] = {"larder"}
        self.target = fault_target.FaultTarget(
            id="i-1",
            service="larder",
            availability_zone="a",
            ip=IP,
            checker=self.checker,
            clock=clock,
            rng=random.Random(1),
        )
        await self.target.start()
        self.reader, self.writer = await asyncio.open_connection(
            *self.target.proxy.address
        )

    async def asyncTearDown(self) -> None:
        self.writer.close()
        await self.target.stop()

    async def head(
        self,
        mode: fault_target.Mode,
        body: bytes = b"b",
        sent: int = 1,
        path: str = PATH,
    ) -> tuple[int, fault_wire.Fields]:
        """Sends a request with the first ``sent`` bytes of its body.

        Returns:
            The status and the header fields of the answer.
        """
        self.target.mode = mode
        self.checker.record_request(
            "q1",
            fault_checker.SentRequest(
                front=IP, path=path, body=body, is_safe=True, at_s=0.0
            ),
        )
        self.writer.write(
            f"POST {path} HTTP/1.1\r\n{ID_FIELD}: q1\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body[:sent]
        )
        return await asyncio.wait_for(
            fault_wire.read_answer_head(self.reader), 2.0
        )

    async def test_healthy_mode(self):
        """Guards against an answer of a healthy target that isn't valid."""
        status, fields = await self.head(fault_target.Mode.HEALTHY)
        body = await fault_wire.read_body(self.reader, fields)
        self.assertEqual(200, status)
        self.assertEqual(fault_target.body_for("q1", b"b"), body)
        self.assertIn(SIGNATURE, fields)

    async def test_answer_in_parts(self):
        """Guards against work that ends before the whole answer is written."""
        mode = fault_target.Mode.HEALTHY
        _, fields = await self.head(mode, path=f"{PATH}/stream/300")
        self.assertTrue(self.checker.is_at_work("q1"))
        body = await fault_wire.read_body(self.reader, fields)
        self.assertEqual(fault_target.body_for("q1", b"b"), body)
        await asyncio.sleep(0.1)
        self.assertFalse(self.checker.is_at_work("q1"))

    async def test_target_that_is_stopped_ends_its_work(self):
        """Guards against a stopped target that counts as still at work."""
        path = f"{PATH}/work/60000"
        self.checker.record_request(
            "q1",
            fault_checker.SentRequest(
                front=IP,
                path=path,
                body=b"",
                is_safe=True,
                at_s=0.0,
            ),
        )
        self.writer.write(
            f"GET {path} HTTP/1.1\r\n{ID_FIELD}: q1\r\n\r\n".encode()
        )
        while not self.checker.is_at_work("q1"):
            await asyncio.sleep(0.01)
        await self.target.stop()
        self.assertFalse(self.checker.is_at_work("q1"))

    async def test_rejections_are_not_signed_and_have_not_run(self):
        """Guards against a rejection that is signed or counts as a run."""
        for mode in (
            fault_target.Mode.REJECTS,
            fault_target.Mode.REJECTS_WITHOUT_ID,
        ):
            status, fields = await self.head(mode)
            await fault_wire.read_body(self.reader, fields)
            self.assertIn(status, fault_target.REJECTIONS)
            self.assertNotIn(SIGNATURE, fields)
            is_blank = mode is fault_target.Mode.REJECTS_WITHOUT_ID
            self.assertEqual(is_blank, ID_FIELD not in fields)
        self.assertEqual(0, self.checker.runs_by_id["q1"])

    async def test_long_body_is_rejected_unread(self):
        """Guards against waiting for the whole body before rejecting it."""
        mode = fault_target.Mode.REJECTS_EARLY
        status, _ = await self.head(mode, bytes(MANY_BYTES))
        self.assertEqual(413, status)

    async def test_late_answer_without_id_precedes_the_answer(self):
        """Guards against a late answer that carries an id or comes last."""
        status, fields = await self.head(fault_target.Mode.LATE_WITHOUT_ID)
        self.assertEqual((404, False), (status, ID_FIELD in fields))
        await fault_wire.read_body(self.reader, fields)
        status, _ = await fault_wire.read_answer_head(self.reader)
        self.assertEqual(200, status)

    async def test_endless_body(self):
        """Guards against an endless body that ends or states a length."""
        _, fields = await self.head(fault_target.Mode.ENDLESS_BODY)
        self.assertNotIn("content-length", fields)
        await self.reader.readexactly(MANY_BYTES)

    async def test_endless_head(self):
        """Guards against an endless head that ends."""
        with self.assertRaises((asyncio.LimitOverrunError, TimeoutError)):
            await self.head(fault_target.Mode.ENDLESS_HEAD)
        data = await self.reader.readexactly(MANY_BYTES)
        self.assertNotIn(b"\r\n\r\n", data)

    async def test_endless_chunks(self):
        """Guards against chunks that end, are longer or have a length."""
        _, fields = await self.head(fault_target.Mode.ENDLESS_CHUNKS)
        self.assertEqual("chunked", fields["transfer-encoding"])
        self.assertNotIn("content-length", fields)
        data = await self.reader.readexactly(MANY_BYTES)
        self.assertEqual(b"1\r\nf\r\n" * (MANY_BYTES // 6), data)

    async def test_endless_lines(self):
        """Guards against short header lines that end."""
        with self.assertRaises((asyncio.LimitOverrunError, TimeoutError)):
            await self.head(fault_target.Mode.ENDLESS_LINES)
        data = await self.reader.readexactly(MANY_BYTES)
        self.assertNotIn(b"\r\n\r\n", data)
        self.assertGreater(data.count(b"X: f\r\n"), MANY_BYTES // 10)
