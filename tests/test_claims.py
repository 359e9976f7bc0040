"""Tests of claims of caller-chosen keys."""

import asyncio
import unittest

from bench import entry_fakes
from fuchsiacourse import claims
from fuchsiacourse import errors
from fuchsiacourse import verdict as verdicts

NOT_RUN = verdicts.Verdict.NOT_RUN
RAN = verdicts.Verdict.RAN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class ClaimsTest(unittest.TestCase):
    """At most one entry may run a caller-chosen key."""

    def test_two_entries_at_once(self):
        """Guards against two entries that run the same key."""

        async def scenario(fleet):
            answers = await asyncio.gather(
                *[fleet.book("mine", entry=n % 2) for n in range(6)]
            )
            return {
                entry_fakes.status_and_verdict(answer) for answer in answers
            }, fleet.runs_by_body

        self.assertEqual(
            ({(200, RAN)}, {b"mine": 1}),
            entry_fakes.run_fleet(scenario, entries=2),
        )

    def test_lost_reply_of_the_claim(self):
        """Guards against abandoning or repeating a claim that was made."""

        async def scenario(fleet):
            fleet.store.errors_by_call["put"] = [errors.StoreOutcomeUnknown()]
            return entry_fakes.status_and_verdict(await fleet.book("mine"))

        self.assertEqual(
            (200, RAN), entry_fakes.run_fleet(scenario, entries=2)
        )

    def test_claim_with_unknown_outcome(self):
        """Guards against running a key whose claim may not exist."""

        async def scenario(fleet):
            outcomes = []
            for attempt in (1, 2):
                fleet.store.errors_by_call = {
                    "put": [errors.StoreOutcomeUnknown()],
                    "get": [errors.StoreUnavailable()],
                }
                outcomes.append(
                    entry_fakes.status_and_verdict(
                        await fleet.book("mine", attempt=attempt)
                    )
                )
            # The first write took effect and names an unused claim.
            outcomes.append(
                entry_fakes.status_and_verdict(
                    await fleet.book("mine", attempt=3)
                )
            )
            outcomes.append(
                entry_fakes.status_and_verdict(
                    await fleet.book("mine", entry=1, attempt=4)
                )
            )
            return outcomes, sum(fleet.runs_by_body.values())

        self.assertEqual(
            (
                [
                    (503, NOT_RUN),
                    (503, MAY_HAVE_RUN),
                    (410, MAY_HAVE_RUN),
                    (409, MAY_HAVE_RUN),
                ],
                0,
            ),
            entry_fakes.run_fleet(scenario, entries=2),
        )

    def test_concurrent_repeat_of_a_failed_claim(self):
        """Guards against not-run for an attempt that is not the first."""

        async def scenario(fleet):
            fleet.store.errors_by_call["put"] = [errors.StoreUnavailable()]
            answers = await asyncio.gather(
                fleet.book("mine", attempt=1), fleet.book("mine", attempt=2)
            )
            return [
                entry_fakes.status_and_verdict(answer) for answer in answers
            ]

        self.assertEqual(
            [(503, NOT_RUN), (503, MAY_HAVE_RUN)],
            entry_fakes.run_fleet(scenario, entries=2),
        )

    def test_unreachable_claimer(self):
        """Guards against not-run for a key that another entry claimed."""

        async def scenario(fleet):
            await fleet.book("mine", entry=1)
            fleet.network.losses_by_call["relay"] = ["unreachable"]
            return entry_fakes.status_and_verdict(await fleet.book("mine"))

        self.assertEqual(
            (503, MAY_HAVE_RUN), entry_fakes.run_fleet(scenario, entries=2)
        )

    def test_record_dropped_before_the_claim(self):
        """Guards against a second run after the record was dropped."""

        async def scenario(fleet):
            await fleet.book("mine")
            await asyncio.sleep(4000)
            outcomes = []
            for entry in (0, 1):
                answer = await fleet.book("mine", entry=entry, attempt=2)
                outcomes.append(answer.verdict)
            return outcomes, fleet.runs_by_body[b"mine"]

        self.assertEqual(
            ([MAY_HAVE_RUN, MAY_HAVE_RUN], 1),
            entry_fakes.run_fleet(scenario, entries=2),
        )

    def test_write_budget(self):
        """Guards against callers that exhaust the store's write budget."""

        async def scenario(fleet):
            answers = [await fleet.book(f"own-{n}") for n in range(40)]
            refused = answers[-1]
            return (
                len(fleet.store.objects_by_key),
                entry_fakes.status_and_verdict(refused),
                b'"keys"' in refused.body,
            )

        # The burst is 20 claims, and the run takes one second at 2 claims/s.
        stored, outcomes, offers = entry_fakes.run_fleet(scenario, entries=1)
        self.assertLessEqual(stored, 23)
        self.assertEqual(((503, NOT_RUN), True), (outcomes, offers))

    def test_expired_claims_are_deleted(self):
        """Guards against claims that accumulate in the store."""

        async def scenario(fleet):
            for number in range(5):
                await fleet.book(f"own-{number}")
            await asyncio.sleep(200)
            return len(fleet.store.objects_by_key)

        self.assertEqual(
            0, entry_fakes.run_fleet(scenario, claim_lifetime_s=30.0)
        )

    def test_expired_claim_of_a_lost_entry(self):
        """Guards against keys that a lost entry blocks forever."""

        async def scenario(fleet):
            name = claims.PREFIX + claims.digest("glen", "mine")
            await fleet.store.put(
                name,
                b'{"incarnation": "gone", "claim": "x", "expires_at": 1}',
                if_version=0,
            )
            expired = await fleet.book("mine")
            await fleet.store.put(name, b"not json", if_version=None)
            malformed = await fleet.book("mine", entry=1)
            return entry_fakes.status_and_verdict(
                expired
            ), entry_fakes.status_and_verdict(malformed)

        self.assertEqual(
            ((200, RAN), (503, NOT_RUN)),
            entry_fakes.run_fleet(scenario, entries=2),
        )
