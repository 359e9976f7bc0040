"""Tests of the stand-in callers that flood or ask flooding targets."""

import asyncio
import unittest

from bench import flood_callers
from bench import flood_form
from bench import flood_source

IP = "127.0.0.1"
HOST = "one.example"
ROUTES = ["/a/", "/b/"]
SECONDS = 0.8


class FloodCallersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against callers that don't flood or never stop."""

    async def asyncSetUp(self) -> None:
        self.heads: list[bytes] = []
        self.read_bytes: list[int] = []
        self.answer = b""
        self.server = await asyncio.start_server(self.serve, IP, 0)
        self.addCleanup(self.server.close)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer) -> None:
        """Reads a request to its end and answers it once."""
        number = len(self.heads)
        self.heads.append(b"")
        self.read_bytes.append(0)
        try:
            while data := await reader.read(100_000):
                self.heads[number] += data[:2_000]
                self.read_bytes[number] += len(data)
                if self.answer:
                    writer.write(self.answer)
                    return
        except OSError:
            # The caller has reset the connection.
            pass
        finally:
            writer.close()

    async def run_callers(
        self, form: flood_form.Form, callers: int
    ) -> flood_callers.FloodCallers:
        """Runs callers of one front for ``SECONDS``."""
        source = flood_source.FloodSource(
            block=flood_form.block(form), seconds=SECONDS
        )
        flood = flood_callers.FloodCallers(
            form=form, source=source, host=HOST, routes=ROUTES
        )
        await asyncio.wait_for(
            flood.run([self.address], callers), SECONDS + 2.0
        )
        return flood

    async def test_uploads_go_on(self):
        """Guards against uploads that stop before the time is over."""
        for form in flood_form.UPLOADS:
            with self.subTest(form=form.value):
                await self.asyncSetUp()
                await self.run_callers(form, 1)
                self.assertEqual(1, len(self.heads))
                self.assertGreater(self.read_bytes[0], 1_000_000)
                self.assertIn(flood_form.block(form)[:500], self.heads[0])

    async def test_callers_leave_and_return(self):
        """Guards against callers that all stay, or leave and don't return."""
        form = flood_form.Form.ANSWER_JUNK
        flood = await self.run_callers(form, len(flood_callers.Role))
        # Two stay; the third leaves once and returns.
        self.assertEqual(4, flood.requests)
        self.assertEqual(4, len(self.heads))

    async def test_callers_of_flooding_targets_send_whole_requests(self):
        """Guards against a request that a front waits for in vain."""
        form = flood_form.Form.ANSWER_JUNK
        await self.run_callers(form, 1)
        self.assertTrue(self.heads[0].endswith(b"Content-Length: 0\r\n\r\n"))

    async def test_routes_take_turns(self):
        """Guards against callers that use one route only."""
        form = flood_form.Form.ANSWER_JUNK
        await self.run_callers(form, 2 * len(flood_callers.Role))
        paths = {head.split()[1][:3] for head in self.heads}
        self.assertEqual({b"/a/", b"/b/"}, paths)

    async def test_answered_callers_ask_again(self):
        """Guards against a caller that stops after an answer."""
        self.answer = b"HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n"
        flood = await self.run_callers(flood_form.Form.ANSWER_JUNK, 1)
        self.assertGreater(flood.requests, 3)

    async def test_missing_front_is_counted(self):
        """Guards against callers that end with a refused connection."""
        self.server.close()
        await self.server.wait_closed()
        flood = await self.run_callers(flood_form.Form.ANSWER_JUNK, 1)
        self.assertEqual(0, flood.requests)
        self.assertGreater(flood.refused, 3)
