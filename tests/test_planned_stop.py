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
# Pause between the chunks of an upload, in seconds.
CHUNK_PAUSE_S = 0.2


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

    def begin_upload(self, id: str) -> None:
        """Sends the head of a request whose body comes in chunks."""
        self.writer.write(
            f"POST {front_process_case.PATH} HTTP/1.1\r\n"
            f"Host: one.example\r\nX-Fuchsiacourse-Request-Id: {id}\r\n"
            "X-Fuchsiacourse-Request-Deadline: 20000\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )

    async def upload(self, chunks: int) -> None:
        """Sends chunks with pauses of ``CHUNK_PAUSE_S``."""
        for _ in range(chunks):
            self.writer.write(b"2\r\nab\r\n")
            await asyncio.sleep(CHUNK_PAUSE_S)

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
        # A head that is half read isn't rejected before the exit.
        spec["limits"]["header_timeout_ms"] = 20_000
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

    async def test_upload_that_fits_is_waited_for(self):
        """Guards against an exit beside a body that is half read."""
        caller = await self.connect()
        caller.begin_upload("q1")
        await self.stop_and_wait(0.0)
        await caller.upload(chunks=20)
        caller.writer.write(b"0\r\n\r\n")
        status, _, body = await caller.read()
        self.assertEqual((200, b"q1"), (status, body))
        await asyncio.wait_for(self.process.wait(), GRACE_S)
        self.assertEqual(0, self.process.returncode)

    async def test_late_upload_is_refused_before_its_end(self):
        """Guards against a reset that takes the refusal from its caller."""
        caller = await self.connect()
        caller.send("q1")
        await caller.read()
        await self.stop_and_wait(3.0)
        caller.begin_upload("q2")
        began_s = asyncio.get_running_loop().time()
        answer = asyncio.ensure_future(caller.read())
        await caller.upload(chunks=8)
        self.assertTrue(answer.done())
        status, head, _ = await answer
        self.assertEqual(503, status)
        self.assertIn(b"retry-after: ", head)
        self.assertEqual(["q1"], self.runs)
        caller.writer.close()
        await asyncio.wait_for(self.process.wait(), 2.0)
        took_s = asyncio.get_running_loop().time() - began_s
        self.assertLess(took_s, GRACE_S - 3.0)

    async def test_request_that_is_half_read_is_named(self):
        """Guards against a request that the exit cuts off without a line."""
        caller = await self.connect()
        caller.send("q1")
        await caller.read()
        await self.stop_and_wait(3.0)
        caller.writer.write(b"POST /a/b/1 HTTP/1.1\r\nHost: one.exa")
        await asyncio.wait_for(self.process.wait(), GRACE_S)
        await self.reading
        cut_off = [line for line in self.lines if "request_cut_off" in line]
        self.assertEqual(1, len(cut_off), "".join(self.lines[-8:]))

    async def test_answer_that_a_caller_takes_at_the_end(self):
        """Guards against an exit that leaves no time for a slow reader."""
        # Somewhat more than the kernel keeps for a caller that reads nothing.
        self.answer_filler = b"a" * 7_500_000
        caller = await self.connect()
        caller.send("q1")
        await asyncio.sleep(0.3)
        await self.stop_and_wait(GRACE_S - 0.55)
        status, _, body = await caller.read()
        self.assertEqual((200, b"q1"), (status, body[:2]))
        self.assertEqual(2 + len(self.answer_filler), len(body))
