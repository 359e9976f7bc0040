"""Tests of the blocks of issued keys."""

import asyncio
import unittest

from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse import idempotency_key
from fuchsiacourse import key_blocks
from fuchsiacourse import verdict as verdicts

OWN = "0181f3b2c4000001"
OTHER = "0181f3b2c4000002"


def new_blocks(incarnation=OWN):
    return key_blocks.KeyBlocks(
        incarnation=incarnation,
        clock=virtual_loop.VirtualClock(),
        block_size=4,
        lifetime_s=900.0,
    )


def key(block, number=0, incarnation=OWN):
    return idempotency_key.IdempotencyKey(
        incarnation=incarnation, block=block, number=number
    )


class KeyBlocksTest(unittest.TestCase):
    """Only keys of issued, unexpired blocks may be run."""

    def refusal(self, blocks, asked):
        with self.assertRaises(errors.RequestRefused) as caught:
            blocks.expires_at(asked)
        return caught.exception.status, caught.exception.verdict

    def run_virtual(self, main):
        return virtual_loop.run(main)

    def test_expired_block_is_never_answered_not_run(self):
        """Guards against not-run for a key whose record is dropped."""

        async def main():
            blocks = new_blocks()
            blocks.issue()
            await asyncio.sleep(1.5)
            blocks.issue()
            self.assertEqual(900.0, blocks.expires_at(key(0)))
            await asyncio.sleep(899)
            expired = self.refusal(blocks, key(0))
            self.assertEqual(901.5, blocks.expires_at(key(1)))
            await asyncio.sleep(10)
            blocks.issue()
            return [expired, self.refusal(blocks, key(0))]

        gone = (410, verdicts.Verdict.MAY_HAVE_RUN)
        self.assertEqual([gone, gone], self.run_virtual(main()))

    def test_number_outside_the_block_is_unknown(self):
        """Guards against running keys that were never issued."""

        async def main():
            blocks = new_blocks()
            blocks.issue()
            blocks.expires_at(key(0, 3))
            return self.refusal(blocks, key(0, 4))

        self.assertEqual(
            (400, verdicts.Verdict.NOT_RUN), self.run_virtual(main())
        )

    def test_refused_block_is_never_issued(self):
        """Guards against running a key after it was answered not-run."""

        async def main():
            blocks = new_blocks()
            refused = self.refusal(blocks, key(1))
            issued = [blocks.issue().prefix for _ in range(2)]
            return refused, issued, self.refusal(blocks, key(1))

        refused, issued, again = self.run_virtual(main())
        self.assertEqual((400, verdicts.Verdict.NOT_RUN), refused)
        self.assertEqual([f"fc1-{OWN}-0", f"fc1-{OWN}-2"], issued)
        self.assertEqual(verdicts.Verdict.MAY_HAVE_RUN, again[1])

    def test_skipped_blocks_are_bounded(self):
        """Guards against guessed keys that use up the memory."""

        async def main():
            blocks = new_blocks()
            for block in range(5000, 7000):
                last = self.refusal(blocks, key(block))
            return last

        self.assertEqual(
            verdicts.Verdict.MAY_HAVE_RUN, self.run_virtual(main())[1]
        )

    def test_handed_over_blocks(self):
        """Guards against a successor that runs keys that were not issued."""

        async def main():
            sender, successor = new_blocks(OTHER), new_blocks()
            self.refusal(sender, key(1, incarnation=OTHER))
            for _ in range(2):
                sender.issue()
            await asyncio.sleep(100)
            self.assertFalse(successor.holds(OTHER))
            successor.adopt(sender.snapshot())
            self.assertTrue(successor.holds(OTHER))
            expiry = successor.expires_at(key(2, incarnation=OTHER))
            skipped = self.refusal(successor, key(1, incarnation=OTHER))
            never = self.refusal(successor, key(9, incarnation=OTHER))
            await asyncio.sleep(801)
            successor.issue()
            return expiry, skipped[1], never[1], successor.holds(OTHER)

        may_have_run = verdicts.Verdict.MAY_HAVE_RUN
        self.assertEqual(
            (900.0, may_have_run, may_have_run, False),
            self.run_virtual(main()),
        )
