"""Tests of the benchmark of floods."""

import asyncio
import math
import unittest

from bench import flood_form
from bench import measure
from bench import measure_floods
from bench import steady_callers

IP = "127.0.0.1"


class FloodResultTest(unittest.TestCase):
    """Guards against a flood that costs too much and meets its bounds."""

    def missed(self, **changes) -> list[str]:
        """Returns the ends of the names of the figures that miss."""
        values = {
            "growth_bytes": 30_000_000,
            "latencies_s": [0.2] * 100,
            "unserved": 0,
        }
        result = measure_floods.FloodResult(
            form=flood_form.Form.ANSWER_JUNK,
            callers=5,
            used_share=1.0,
            waited_share=0.0,
            note="",
            **(values | changes),
        )
        figures = result.figures(0.1)
        return [
            item.name.rpartition("_")[2] for item in figures if not item.is_met
        ]

    def test_bounds(self):
        """Guards against bounds that are looser than stated."""
        self.assertEqual([], self.missed())
        self.assertEqual(["memory"], self.missed(growth_bytes=30_000_001))
        self.assertEqual(["p99"], self.missed(latencies_s=[0.201] * 100))
        self.assertEqual(["unserved"], self.missed(unserved=1))

    def test_none_served(self):
        """Guards against a p99 that is met because nothing was served."""
        self.assertEqual(
            ["p99", "unserved"], self.missed(latencies_s=[], unserved=9)
        )

    def test_unserved_requests_count_as_slow(self):
        """Guards against a p99 of the few requests that were served."""
        changes = {"latencies_s": [0.1] * 97, "unserved": 3}
        self.assertEqual(["p99", "unserved"], self.missed(**changes))

    def test_p99(self):
        """Guards against a percentile that omits slow requests."""
        self.assertEqual(99, measure_floods.p99(range(101)))
        self.assertEqual(5, measure_floods.p99(range(6)))
        self.assertTrue(math.isnan(measure_floods.p99([])))

    def test_measure_is_registered(self):
        """Guards against a measure that isn't run with the others."""
        self.assertIn("bench.measure_floods", measure.MODULES)
        self.assertEqual({"front_floods"}, set(measure_floods.MEASURES))


class SteadyCallersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against callers that a slow front makes ask less."""

    async def asyncSetUp(self) -> None:
        self.delay_s = 0.0
        self.status = 200
        self.count = 0
        server = await asyncio.start_server(self.serve, IP, 0)
        self.addCleanup(server.close)
        self.callers = steady_callers.SteadyCallers(
            fronts=[server.sockets[0].getsockname()[:2]],
            per_front=2,
            host="one.example",
            path="/a/",
        )
        self.addCleanup(self.callers.close)

    async def serve(self, reader, writer) -> None:
        """Answers the requests of one connection."""
        try:
            while True:
                await reader.readuntil(b"\r\n\r\nab")
                self.count += 1
                await asyncio.sleep(self.delay_s)
                writer.write(
                    b"HTTP/1.1 %d S\r\nContent-Length: 0\r\n\r\n" % self.status
                )
        except (asyncio.IncompleteReadError, OSError):
            # The caller has closed the connection.
            pass
        finally:
            writer.close()

    async def test_rate_does_not_depend_on_the_answers(self):
        """Guards against waiting for an answer before the next request."""
        for self.delay_s in (0.0, 0.3):
            await self.callers.run(0.5)
            latencies_s, unserved = self.callers.take()
            self.assertEqual(0, unserved)
            self.assertAlmostEqual(20, len(latencies_s), delta=2)
            self.assertGreaterEqual(min(latencies_s), self.delay_s)

    async def test_errors_are_not_served(self):
        """Guards against a rejection that counts as served."""
        self.status = 503
        await self.callers.run(0.2)
        latencies_s, unserved = self.callers.take()
        self.assertEqual(([], self.count), (latencies_s, unserved))
        self.assertGreater(unserved, 0)
