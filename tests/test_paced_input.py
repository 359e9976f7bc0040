"""Tests of the pace at which a connection is parsed, on virtual time."""

import asyncio
import unittest

from bench import front_fakes
from bench import virtual_loop
from fuchsiacourse.front import paced_input
from fuchsiacourse.front import work_meter
from fuchsiacourse.front import work_share


class WorkMeterTest(unittest.TestCase):
    """Guards against connections that use up the front's processor time."""

    def setUp(self) -> None:
        self.clock = front_fakes.ManualClock()
        self.share = work_share.WorkShare(clock=self.clock)

    def meter(self) -> work_meter.WorkMeter:
        return work_meter.WorkMeter(clock=self.clock, share=self.share)

    def test_large_parts_never_pause(self):
        """Guards against a limit on the bytes of honest bodies."""
        meter = self.meter()
        for _ in range(10_000):
            self.assertEqual(0.0, meter.charge(16, 65_536))
        self.assertFalse(meter.is_exhausted)

    def test_slow_small_parts_never_pause(self):
        """Guards against delaying 20 parts of 30 bytes a second."""
        meter = self.meter()
        flood = self.meter()
        for _ in range(600):
            flood.charge(2000, 2000)
            self.clock.now_s += 0.05
            self.assertEqual(0.0, meter.charge(1, 30))
        self.assertFalse(meter.is_exhausted)

    def test_upload_in_chunks_of_ten_bytes_is_not_ended(self):
        """Guards against ending an honest upload of 100,000 chunks."""
        meter = self.meter()
        began_s = self.clock.now_s
        for _ in range(1000):
            self.clock.now_s += meter.charge(100, 1000)
        self.assertFalse(meter.is_exhausted)
        self.assertLess(self.clock.now_s - began_s, 1.1)

    def test_tiny_parts_without_end_exhaust_the_message(self):
        """Guards against a message of tiny parts that goes on for ever."""
        meter = self.meter()
        while not meter.is_exhausted and meter.parts < 1_000_000:
            meter.charge(1000, 1000)
        self.assertLess(meter.parts, 210_000)
        meter.begin_message()
        self.assertFalse(meter.is_exhausted)

    def test_all_connections_divide_one_share(self):
        """Guards against work that grows with the number of connections."""
        meters = [self.meter() for _ in range(40)]
        pauses_s = [meter.charge(11_000, 11_000) for meter in meters]
        self.assertAlmostEqual(4.0, max(pauses_s), delta=0.2)


class PacedInputTest(unittest.TestCase):
    """Guards against turns of the event loop that one connection takes."""

    def run_input(self, parts: int, content_bytes: int, data: bytes):
        """Feeds bytes whose slices all cost the same.

        Returns:
            The pieces with the time at which each was parsed, in seconds,
            and whether reading was paused after each change.
        """
        clock = virtual_loop.VirtualClock()
        pieces: list[tuple[float, bytes]] = []
        flows: list[bool] = []

        async def main():
            def consume(piece):
                pieces.append((clock.now(), piece))
                paced.charge(parts, content_bytes)

            paced = paced_input.PacedInput(
                meter=work_meter.WorkMeter(
                    clock=clock, share=work_share.WorkShare(clock=clock)
                ),
                consume=consume,
                on_flow=lambda: flows.append(paced.is_paused),
            )
            paced.add(data)
            await asyncio.sleep(10.0)

        virtual_loop.run(main())
        self.assertEqual(data, b"".join(piece for _, piece in pieces))
        return pieces, flows

    def test_large_parts_are_parsed_at_once(self):
        """Guards against delays of ordinary bodies."""
        pieces, flows = self.run_input(4, 65_536, bytes(range(256)) * 1024)
        self.assertEqual({0.0}, {at_s for at_s, _ in pieces})
        self.assertLess(len(pieces), 10)
        self.assertEqual([], flows)

    def test_tiny_parts_are_parsed_in_turns(self):
        """Guards against parsing a whole read of tiny parts in one turn."""
        pieces, flows = self.run_input(800, 800, b"1\r\na\r\n" * 20_000)
        self.assertLess(max(len(piece) for _, piece in pieces), 5000)
        self.assertAlmostEqual(0.22, pieces[-1][0], delta=0.05)
        self.assertEqual((True, False), (flows[0], flows[-1]))

    def test_held_input_waits(self):
        """Guards against parsing on while a body or an answer must wait."""
        pieces: list[bytes] = []
        clock = front_fakes.ManualClock()

        def consume(piece):
            pieces.append(piece)
            paced.hold(True)

        paced = paced_input.PacedInput(
            meter=work_meter.WorkMeter(
                clock=clock, share=work_share.WorkShare(clock=clock)
            ),
            consume=consume,
            on_flow=lambda: None,
        )
        paced.add(b"a" * 5000)
        self.assertEqual([4096], [len(piece) for piece in pieces])
        self.assertEqual(904, len(paced.waiting))
        paced.hold(False)
        self.assertEqual(b"a" * 5000, b"".join(pieces))
        self.assertEqual(b"", paced.waiting)

    def test_closed_input_parses_nothing_more(self):
        """Guards against parsing bytes of a connection that was closed."""
        pieces: list[bytes] = []

        async def main():
            def consume(piece):
                pieces.append(piece)
                paced.charge(5000, 0)

            paced = paced_input.PacedInput(
                meter=work_meter.WorkMeter(
                    clock=virtual_loop.VirtualClock(),
                    share=work_share.WorkShare(
                        clock=virtual_loop.VirtualClock()
                    ),
                ),
                consume=consume,
                on_flow=lambda: None,
            )
            paced.add(b"a" * 10_000)
            paced.close()
            paced.add(b"b")
            await asyncio.sleep(10.0)

        virtual_loop.run(main())
        self.assertEqual([b"a" * 4096], pieces)
