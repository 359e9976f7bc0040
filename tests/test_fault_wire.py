"""Tests of the request encodings of the fault soak."""

import asyncio
import unittest

from bench import fault_wire

LIMIT = 4096
PATH = "/route/id"


class FaultWireTest(unittest.IsolatedAsyncioTestCase):
    """Guards against encodings that change a request or exceed a limit."""

    def written(self, form: fault_wire.Form, body: bytes) -> bytes:
        return b"".join(
            fault_wire.pieces_of(
                form,
                path=fault_wire.path_of(form, PATH, LIMIT),
                host="soak.example",
                fields={"X-Id": "id"},
                body=body,
                max_head_bytes=LIMIT,
            )
        )

    async def read(self, data: bytes) -> tuple[str, dict[str, str], bytes]:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        line, fields = await fault_wire.read_head(reader)
        body = await fault_wire.read_body(reader, fields)
        self.assertEqual(b"", await reader.read())
        return line, fields, body

    async def test_each_form_encodes_the_same_request(self):
        """Guards against a form that changes the request."""
        for form in fault_wire.Form:
            for body in (b"", b"123456789", bytes(50_000)):
                line, fields, got = await self.read(self.written(form, body))
                self.assertEqual(body, got, form)
                self.assertEqual("id", fields["x-id"])
                host = fields["host"].lower().partition(":")[0]
                self.assertEqual("soak.example", host)
                self.assertIn(PATH, line)

    async def test_long_form_uses_the_limits(self):
        """Guards against a long form that misses or exceeds the limits."""
        data = self.written(fault_wire.Form.LONG, b"")
        line, fields, _ = await self.read(data)
        self.assertEqual(LIMIT // 2, len(line.split()[1]))
        self.assertEqual(LIMIT, len(data) - len(line) - 4)

    async def test_small_pieces(self):
        """Guards against a request that is written in a single piece."""
        pieces = fault_wire.pieces_of(
            fault_wire.Form.PIECES,
            path=PATH,
            host="soak.example",
            fields={},
            body=b"abc",
            max_head_bytes=LIMIT,
        )
        self.assertGreater(len(pieces), 2)

    async def test_body_in_pieces(self):
        """Guards against a body with pauses that is written at once."""
        for form in (fault_wire.Form.PAUSED, fault_wire.Form.STREAMED):
            pieces = fault_wire.pieces_of(
                form,
                path=PATH,
                host="soak.example",
                fields={},
                body=bytes(1000),
                max_head_bytes=LIMIT,
            )
            self.assertGreater(len(pieces), fault_wire.PAUSED_PIECES, form)
            self.assertTrue(pieces[0].endswith(b"\r\n\r\n"), form)

    async def test_slow_reading(self):
        """Guards against a slow reader that changes a body."""
        body = bytes(range(256)) * 200
        for form in (fault_wire.Form.PLAIN, fault_wire.Form.CHUNKED):
            reader = asyncio.StreamReader()
            reader.feed_data(self.written(form, body))
            _, fields = await fault_wire.read_head(reader)
            got = await fault_wire.read_body(reader, fields, 0.001)
            self.assertEqual(body, got, form)

    async def test_body_truncated_between_chunks(self):
        """Guards against taking a truncated chunked body for a whole one."""
        reader = asyncio.StreamReader()
        reader.feed_data(b"1\r\na\r\n")
        reader.feed_eof()
        with self.assertRaises(asyncio.IncompleteReadError):
            await fault_wire.read_body(
                reader, {"transfer-encoding": "chunked"}
            )

    async def test_endless_body_is_an_error(self):
        """Guards against reading a chunked body without a limit."""
        reader = asyncio.StreamReader()
        reader.feed_data(b"%x\r\n" % (fault_wire.MAX_ANSWER_BYTES + 1))
        with self.assertRaises(OSError):
            await fault_wire.read_body(
                reader, {"transfer-encoding": "chunked"}
            )
