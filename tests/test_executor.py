"""Tests of the verdicts that calls of dispatch prove."""

import asyncio
import unittest

from bench import entry_fakes
from fuchsiacourse import executor
from fuchsiacourse import fleet_pb2
from fuchsiacourse import member as member_rows
from fuchsiacourse import verdict as verdicts

NOT_RUN = verdicts.Verdict.NOT_RUN
RAN = verdicts.Verdict.RAN
MAYBE = verdicts.Verdict.MAY_HAVE_RUN


class ExecutorTest(unittest.TestCase):
    """Each verdict must be proven by the replies of dispatch."""

    def book(self, arrange, **options):
        """Returns the status, verdict and number of runs of a booking."""

        async def scenario(fleet):
            # One region only, so that nothing is retried elsewhere.
            arrange(fleet, fleet.dispatchers[0])
            answer = await fleet.book(fleet.key(), body=b"b")
            await asyncio.sleep(100)
            return answer.status, answer.verdict, fleet.runs_by_body[b"b"]

        return entry_fakes.run_fleet(scenario, **options)

    def test_lost_request_and_withdrawal(self):
        """Guards against may-have-run although a withdrawal proves not-run."""

        def arrange(fleet, dispatch):
            fleet.network.losses_by_call["execute"] = ["request"]

        self.assertEqual((504, NOT_RUN, 0), self.book(arrange))

    def test_lost_withdrawal_reply(self):
        """Guards against not-run without a reply that proves it."""

        def arrange(fleet, dispatch):
            dispatch.queue_s = (5.0, 5.0)
            fleet.network.losses_by_call["withdraw"] = ["reply"]

        self.assertEqual((504, MAYBE, 0), self.book(arrange))

    def test_late_withdrawal_proves_nothing(self):
        """Guards against not-run for a run whose id dispatch has dropped."""
        kinds = entry_fakes.service().model_dump(mode="json")["kinds"]
        for kind in kinds:
            kind["deadline_ms"] = 700_000

        def arrange(fleet, dispatch):
            fleet.network.losses_by_call["execute"] = ["reply"]
            asyncio.get_running_loop().call_later(
                650, dispatch._state_by_id.clear
            )

        self.assertEqual(
            (504, MAYBE, 1),
            self.book(arrange, service_changes={"kinds": kinds}),
        )

    def test_started_run_beyond_its_deadline(self):
        """Guards against not-run for a run that has started."""

        def arrange(fleet, dispatch):
            dispatch.run_s = (2.0, 2.0)

        self.assertEqual((504, MAYBE, 1), self.book(arrange))

    def test_broken_connection(self):
        """Guards against retrying a booking that may have run."""

        def arrange(fleet, dispatch):
            fleet.network.losses_by_call["execute"] = ["reset"]

        self.assertEqual((502, MAYBE, 1), self.book(arrange, dispatchers=2))

    def test_unreachable_owner(self):
        """Guards against refusing bookings because their owner is dead."""

        def arrange(fleet, dispatch):
            fleet.network.losses_by_call["execute"] = ["unreachable"] * 3

        self.assertEqual((200, RAN, 1), self.book(arrange, dispatchers=2))

    def test_draining_owner(self):
        """Guards against a refusal although the next owner may be called."""

        def arrange(fleet, dispatch):
            for process in fleet.dispatchers:
                process.refusals = ["draining"]
            fleet.dispatchers[-1].refusals = []

        self.assertEqual((200, RAN, 1), self.book(arrange, dispatchers=2))

    def test_redirections_are_followed_twice(self):
        """Guards against two processes that redirect to each other."""

        async def scenario(fleet):
            rows = fleet.dispatch_rows
            first = fleet.tables[0].owner(entry_fakes.SERVICE, "tayside")
            number = rows.index(first)
            for place in (0, 1):
                fleet.dispatchers[place].refusals = ["not_owner"] * 9
                fleet.dispatchers[place].owner = rows[1 - place].rpc_address
            fleet.dispatchers[number].refusals = ["not_owner"]
            answer = await fleet.book(fleet.key())
            hops = [item.hops for item in fleet.dispatchers[number].requests]
            return answer.verdict, hops

        self.assertEqual(
            (RAN, [0, 2]), entry_fakes.run_fleet(scenario, dispatchers=2)
        )

    def test_overload_moves_lookups_only(self):
        """Guards against a booking that is sent to two regions."""

        async def scenario(fleet):
            home = fleet.dispatchers[0]
            home.refusals = ["overload"]
            lookup = await fleet.look_up()
            await asyncio.sleep(1)
            home.refusals = ["no_target"]
            booking = await fleet.book(fleet.key())
            again = await fleet.book(fleet.key())
            return [
                (answer.status, answer.verdict)
                for answer in (lookup, booking, again)
            ], len(fleet.dispatchers[1].requests)

        # The booking after a refusal goes to the other region at once.
        self.assertEqual(
            ([(200, RAN), (503, NOT_RUN), (200, RAN)], 2),
            entry_fakes.run_fleet(scenario),
        )

    def test_spill_budget(self):
        """Guards against requests that fill the link between regions."""

        async def scenario(fleet):
            fleet.dispatchers[0].refusals = ["overload"] * 100
            answers = [
                await fleet.look_up(body=b"x" * 2000) for _ in range(10)
            ]
            return [answer.status for answer in answers].count(200)

        # 10,000 bytes of burst carry two requests with their answers.
        self.assertEqual(
            2, entry_fakes.run_fleet(scenario, spill_bytes_per_s=5000.0)
        )

    def test_invalid_replies(self):
        """Guards against returning another caller's or a truncated answer."""

        def other_id(reply):
            reply.request_id = "another"

        def truncated(reply):
            reply.body = reply.body[:-1]

        def unknown_refusal(reply):
            reply.verdict = fleet_pb2.NOT_RUN
            reply.refusal = "unheard_of"

        def lost_answer(reply):
            reply.refusal = "target_failed"

        for corrupt, verdict in (
            (other_id, MAYBE),
            (truncated, MAYBE),
            (unknown_refusal, MAYBE),
            (lost_answer, RAN),
        ):

            def arrange(fleet, dispatch, corrupt=corrupt):
                dispatch.corrupt = corrupt

            self.assertEqual((502, verdict, 1), self.book(arrange))

    def test_lookups_are_retried_within_a_budget(self):
        """Guards against retries that multiply the load of a fault."""

        async def scenario(fleet):
            fleet.network.losses_by_call["execute"] = ["reset"] * 1000
            for _ in range(100):
                answer = await fleet.look_up()
                self.assertIs(MAYBE, answer.verdict)
            return sum(len(item.requests) for item in fleet.dispatchers)

        bound = 100 * (1 + executor.RETRY_SHARE) + executor.RETRY_BURST
        self.assertLessEqual(
            entry_fakes.run_fleet(scenario, dispatchers=3), bound
        )

    def test_lookup_is_retried_when_its_owner_is_dead(self):
        """Guards against a lookup that waits for a dead process."""

        async def scenario(fleet):
            fleet.network.losses_by_call["execute"] = ["request"]
            call = asyncio.ensure_future(fleet.look_up())
            await asyncio.sleep(0.3)
            owner = fleet.tables[0].owner(entry_fakes.SERVICE, "tayside")
            owner.state = member_rows.State.DEAD
            fleet.gossip(owner)
            answer = await call
            return answer.status, asyncio.get_running_loop().time() < 0.5

        self.assertEqual(
            (200, True), entry_fakes.run_fleet(scenario, dispatchers=2)
        )

    def test_pause_before_the_call(self):
        """Guards against a run for a caller that has given up."""

        def sent(fleet):
            return sum(name == "execute" for name, _ in fleet.network.calls)

        async def scenario(fleet, steps):
            fleet.network.losses_by_call["execute"] = ["unreachable"] * 9
            call = asyncio.ensure_future(fleet.book(fleet.key()))
            for _ in range(steps):
                await asyncio.sleep(0)
            before = sent(fleet)
            asyncio.get_running_loop()._jumping_selector.now_s += 5.0
            answer = await call
            return entry_fakes.status_and_verdict(answer), sent(fleet) - before

        # The pause falls between any two steps of the event loop after the
        # request's arrival.
        for steps in range(1, 12):
            reply, sent_late = entry_fakes.run_fleet(
                lambda fleet, steps=steps: scenario(fleet, steps),
                dispatchers=9,
            )
            self.assertEqual(((504, NOT_RUN), 0), (reply, sent_late), steps)
