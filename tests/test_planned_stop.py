"""Tests of the requests that a front process takes while it shuts down."""

import asyncio
import json
import signal

from tests import front_process_case
from tests import test_platform_codecs

IP = front_process_case.IP
# Grace time of the settings, in seconds.
GRACE_S = 7.0
# Time that a request takes whose caller comes late, in seconds; it would end
# after the process.
LONG_WORK_S = 6.0


class CallerSide:
    """Caller's side of a connection.

    Args:
        reader: Reads from the connection.
        writer: Writes to it.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, *ids: str) -> None:
        """Sends one request for each id, in one write."""
        self.writer.write(
            b"".join(
                f"POST {front_process_case.PATH} HTTP/1.1\r\n"
                f"Host: one.example\r\nX-Fuchsiacourse-Request-Id: {id}\r\n"
                "X-Fuchsiacourse-Request-Deadline: 20000\r\n"
                "Content-Length: 2\r\n\r\nab".encode()
                for id in ids
            )
        )

    async def read(self) -> tuple[int, bytes, bytes]:
        """Returns status, head and body of an answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = int(head.split(b"content-length: ")[1].split()[0])
        body = await self.reader.readexactly(length)
        return int(head.split()[1]), head, body


class PlannedStopTest(front_process_case.FrontProcessCase):
    """Guards against requests that a planned stop cuts off."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.writers: list[asyncio.StreamWriter] = []
        spec = json.loads(test_platform_codecs.config_value())["spec"]
        for route in spec["hosts"][0]["paths"]:
            route["timeout_ms"] = 20_000
        spec["version"] = "r13"
        self.put("config/main", json.dumps({"spec": spec}).encode())
        await asyncio.sleep(1.0)

    async def asyncTearDown(self) -> None:
        for writer in self.writers:
            writer.close()
        await super().asyncTearDown()

    async def connect(self) -> CallerSide:
        reader, writer = await asyncio.open_connection(IP, self.ports[0])
        self.writers.append(writer)
        return CallerSide(reader, writer)

    async def stop_and_wait(self, for_s: float) -> None:
        self.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(for_s)

    async def test_late_request_on_kept_connection(self):
        """Guards against a late request that is sent on and then cut off."""
        caller = await self.connect()
        caller.send("q1")
        self.assertEqual(200, (await caller.read())[0])
        self.work_s = LONG_WORK_S
        await self.stop_and_wait(3.1)
        caller.send("q2")
        status, head, _ = await caller.read()
        self.assertEqual(503, status)
        self.assertIn(b"retry-after: ", head)
        self.assertEqual(["q1"], self.runs)
        await asyncio.wait_for(self.process.wait(), GRACE_S)
        self.assertEqual(0, self.process.returncode)

    async def test_late_request_on_new_connection(self):
        """Guards against a cut on a connection that was opened late."""
        self.work_s = LONG_WORK_S
        await self.stop_and_wait(3.2)
        caller = await self.connect()
        await asyncio.sleep(0.4)
        caller.send("q1")
        status, _, _ = await caller.read()
        self.assertEqual(503, status)
        self.assertEqual([], self.runs)

    async def test_work_beyond_the_grace_time(self):
        """Guards against a connection that ends without any answer."""
        self.work_s = LONG_WORK_S + GRACE_S
        caller = await self.connect()
        caller.send("q1")
        await asyncio.sleep(0.2)
        await self.stop_and_wait(0.0)
        status, _, _ = await caller.read()
        self.assertEqual(504, status)
        self.assertEqual(["q1"], self.runs)
        await asyncio.wait_for(self.process.wait(), GRACE_S)
        self.assertEqual(0, self.process.returncode)

    async def test_request_that_is_half_read_is_named(self):
        """Guards against a request that the exit cuts off without a line."""
        caller = await self.connect()
        caller.send("q1")
        await caller.read()
        await self.stop_and_wait(3.2)
        caller.writer.write(b"POST /a/b/1 HTTP/1.1\r\nHost: one.exa")
        await asyncio.wait_for(self.process.wait(), GRACE_S)
        await self.reading
        cut_off = [line for line in self.lines if "request_cut_off" in line]
        self.assertEqual(1, len(cut_off))
