"""Tests of the ledger, including random operations against a model."""

import asyncio
import random
import unittest

from bench import virtual_loop
from fuchsiacourse import caller_request
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import ledger as ledgers
from fuchsiacourse import ledger_record
from fuchsiacourse import ledger_wire
from fuchsiacourse import logs
from fuchsiacourse import verdict as verdicts

MAX_RECORDS = 8
MAX_ANSWER_BYTES = 100
MAX_BYTES = MAX_RECORDS * ledgers.RECORD_OVERHEAD_BYTES + 300


def new_ledger():
    return ledgers.Ledger(
        clock=virtual_loop.VirtualClock(),
        invariants=invariant_checks.Invariants(log=logs.silent()),
        max_records=MAX_RECORDS,
        max_bytes=MAX_BYTES,
        max_answer_bytes=MAX_ANSWER_BYTES,
    )


def answer(size_bytes=10):
    return caller_request.CallerAnswer(
        status=200, verdict=verdicts.Verdict.RAN, body=b"x" * size_bytes
    )


def refusal(verdict=verdicts.Verdict.NOT_RUN):
    return errors.RequestRefused(verdict=verdict, status=503, title="Refused")


class LedgerTest(unittest.TestCase):
    """The ledger must stay bounded and must not drop an unexpired key."""

    def test_large_answer_is_dropped_but_the_run_is_known(self):
        """Guards against a second run of a key with a large answer."""

        async def main():
            ledger = new_ledger()
            record = ledger.open("k", fingerprint="f", expires_at=900.0)
            done = record.done
            ledger.finish(record, answer(MAX_ANSWER_BYTES + 1))
            return ledger.get("k"), await done

        record, result = virtual_loop.run(main())
        self.assertIs(ledger_record.RecordState.RAN, record.state)
        self.assertFalse(record.answer_kept)
        self.assertEqual(MAX_ANSWER_BYTES + 1, len(result.body))

    def test_record_of_a_late_run_outlives_its_key(self):
        """Guards against dropping the record of a run in progress."""

        async def main():
            ledger = new_ledger()
            record = ledger.open("k", fingerprint="f", expires_at=1.0)
            await asyncio.sleep(30)
            during = ledger.get("k")
            ledger.finish(record, answer())
            await asyncio.sleep(61)
            return during is record, ledger.get("k"), ledger.size_bytes

        self.assertEqual((True, None, 0), virtual_loop.run(main()))

    def test_random_operations_match_a_model(self):
        """Guards against lost records and growth beyond the bounds."""
        for seed in range(30):
            virtual_loop.run(self.run_random(seed))

    async def run_random(self, seed):
        rng = random.Random(seed)
        ledger = new_ledger()
        model = {}
        for step in range(300):
            now = asyncio.get_running_loop().time()
            evidence = f"seed {seed}, step {step}"
            key = f"k{rng.randrange(15)}"
            found = ledger.get(key)
            expected = model.get(key)
            if expected is None or expected[0] <= now:
                self.assertIsNone(found, evidence)
                record = ledger.open(
                    key, fingerprint="f", expires_at=now + 900.0
                )
                if record is not None:
                    model[key] = (now + 900.0, record)
            else:
                self.assertIs(expected[1], found, evidence)
                if not found.is_final:
                    ledger.finish(
                        found, rng.choice([answer(80), answer(101), refusal()])
                    )
            self.assertLessEqual(len(ledger), MAX_RECORDS, evidence)
            self.assertLessEqual(ledger.size_bytes, MAX_BYTES, evidence)
            # No record in progress expires in this run.
            if not any(not row.is_final for _, row in model.values()):
                await asyncio.sleep(rng.choice([0, 0, 100, 500]))

    def test_open_twice_breaks_an_invariant(self):
        """Guards against a second run of a key that goes undetected."""

        async def main():
            checks = invariant_checks.Invariants(log=logs.silent())
            ledger = new_ledger()
            ledger._invariants = checks
            for _ in range(2):
                ledger.open("k", fingerprint="f", expires_at=900.0)
            return checks.broken_by_id

        broken = virtual_loop.run(main())
        self.assertEqual(
            {invariant_checks.InvariantId.AT_MOST_ONCE: 1}, dict(broken)
        )


class LedgerWireTest(unittest.TestCase):
    """A handed-over record must keep the verdict and the result."""

    def round_trip(self, result, *, finish=True):
        async def main():
            ledger = new_ledger()
            record = ledger.open("k", fingerprint="f", expires_at=900.0)
            if finish:
                ledger.finish(record, result)
            message = ledger_wire.to_wire(record, now_s=100.0)
            copy = fleet_pb2.LedgerRecord.FromString(
                message.SerializeToString()
            )
            return ledger_wire.from_wire(copy, now_s=0.0)

        return virtual_loop.run(main())

    def test_answers_and_refusals(self):
        """Guards against a verdict that changes in the conversion."""
        kept = self.round_trip(answer())
        self.assertEqual(b"x" * 10, kept.result.body)
        self.assertAlmostEqual(800.0, kept.expires_at)
        dropped = self.round_trip(answer(101))
        self.assertIs(verdicts.Verdict.RAN, dropped.verdict)
        self.assertFalse(dropped.answer_kept)
        for verdict in verdicts.Verdict:
            record = self.round_trip(refusal(verdict))
            self.assertIs(verdict, record.verdict)
            self.assertIs(verdict, record.result.verdict)
            self.assertEqual("Refused", record.result.title)

    def test_run_in_progress_may_have_run(self):
        """Guards against not-run for a run cut short by a forced shutdown."""
        record = self.round_trip(None, finish=False)
        self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, record.verdict)
        self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, record.result.verdict)
