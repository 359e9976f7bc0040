"""Tests of the stand-in target that answers without end."""

import asyncio
import time
import unittest

from bench import flood_form
from bench import flood_source
from bench import flood_target

IP = "127.0.0.1"
HOST = "one.example"
READ_BYTES = 100_000
UPLOAD = flood_form.Form.UPLOAD_LONG_CHUNKS


class FloodTargetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against floods that end early or never, or of another form."""

    async def start(
        self, form: flood_form.Form, *, seconds: float = 5.0, **options: int
    ) -> None:
        """Starts a target and sends it the begin of a request."""
        self.source = flood_source.FloodSource(
            block=flood_form.block(form), seconds=seconds, **options
        )
        self.target = flood_target.FloodTarget(form=form, source=self.source)
        address = await self.target.listen(IP, 0)
        self.addAsyncCleanup(self.target.stop)
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.addCleanup(self.writer.transport.abort)
        self.writer.write(
            flood_form.request_begin(form, host=HOST, path="/a/1", id="q1")
        )

    async def read(self, form: flood_form.Form) -> bytes:
        """Returns the first bytes of an answer."""
        await self.start(form)
        return await asyncio.wait_for(self.reader.readexactly(READ_BYTES), 4.0)

    async def test_every_answer_goes_on(self):
        """Guards against a form whose answer stops or has no request id."""
        for form in flood_form.Form:
            if form in flood_form.UPLOADS:
                continue
            with self.subTest(form=form.value):
                data = await self.read(form)
                begin = flood_form.answer_begin(form, "q1")
                self.assertTrue(data.startswith(begin))
                more = data[len(begin) :]
                block = flood_form.block(form)
                repeated = block * (READ_BYTES // len(block) + 1)
                self.assertEqual(repeated[: len(more)], more)

    async def test_heads(self):
        """Guards against a head that ends, or one without an end."""
        for form, ends in (
            (flood_form.Form.ANSWER_HEADER_LINES, 0),
            (flood_form.Form.ANSWER_LONG_VALUES, 0),
            (flood_form.Form.ANSWER_ONE_BYTE_CHUNKS, 1),
            (flood_form.Form.ANSWER_UNTIL_CLOSE, 1),
            (flood_form.Form.ANSWER_TRAILERS, 1),
        ):
            with self.subTest(form=form.value):
                data = await self.read(form)
                self.assertEqual(ends, data.count(b"\r\n\r\n"))

    async def test_time_ends_the_flood(self):
        """Guards against a flood that goes on while its peer reads."""
        await self.start(flood_form.Form.ANSWER_JUNK, seconds=0.3)
        begin_s = time.monotonic()
        with self.assertRaises(OSError):
            while await asyncio.wait_for(self.reader.read(READ_BYTES), 4.0):
                pass
            raise ConnectionResetError("closed")
        self.assertGreater(time.monotonic() - begin_s, 0.2)

    async def test_time_ends_the_flood_of_a_peer_that_reads_nothing(self):
        """Guards against waiting for a peer after the time."""
        await self.start(flood_form.Form.ANSWER_JUNK, seconds=0.3)
        await asyncio.sleep(0.6)
        self.assertTrue(self.source.has_ended)
        self.assertFalse(self.target._tasks)

    async def test_bytes_end_the_flood(self):
        """Guards against sending more than the number of bytes."""
        max_bytes = 1_000_000
        await self.start(flood_form.Form.ANSWER_JUNK, max_bytes=max_bytes)
        data = await asyncio.wait_for(self._read_all(), 4.0)
        block = flood_form.block(flood_form.Form.ANSWER_JUNK)
        self.assertLessEqual(data, max_bytes + len(block))
        self.assertTrue(self.source.has_ended)

    async def test_upload_is_read_and_not_answered(self):
        """Guards against an answer to an upload that has not ended."""
        await self.start(UPLOAD)
        self.writer.write(bytes(READ_BYTES))
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(self.reader.read(1), 0.3)
        self.assertEqual(READ_BYTES, self.target.read_bytes)

    async def _read_all(self) -> int:
        count = 0
        try:
            while data := await self.reader.read(READ_BYTES):
                count += len(data)
        except ConnectionResetError:
            # The target ends a connection with a reset.
            pass
        return count
