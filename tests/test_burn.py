"""Tests of reporting, storing and viewing the service-level counters."""

import random
import unittest

from bench import fake_store
from bench import virtual_loop
from fuchsiacourse import burn_collector
from fuchsiacourse import burn_collectors
from fuchsiacourse import burn_counters
from fuchsiacourse import burn_object
from fuchsiacourse import burn_page
from fuchsiacourse import burn_peers
from fuchsiacourse import burn_sender
from fuchsiacourse import burn_view
from fuchsiacourse import caller_request
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import logs
from fuchsiacourse import member
from fuchsiacourse import members
from fuchsiacourse import platform_model
from fuchsiacourse import service_file
from fuchsiacourse import service_status
from fuchsiacourse import timers
from fuchsiacourse import verdict
from tests import test_service_file

KEY = ("larder", "lookup")
MONTH = "2027-01"


def row(number: int, role: str = "dispatch") -> member.Member:
    """Returns a member of the zone."""
    return member.Member(
        id=f"{number:016x}",
        role=role,
        host="127.0.0.1",
        availability_zone="tay-a",
        region="tayside",
        gossip_address=f"127.0.0.1:{1000 + number}",
        rpc_address=f"127.0.0.1:{2000 + number}",
    )


def table(own: member.Member, *others: member.Member) -> members.Members:
    """Returns a member table."""
    found = members.Members(self_row=own)
    for other in others:
        found.by_id[other.id] = other
    return found


def report(incarnation: str, total: int, good: int) -> fleet_pb2.BurnReport:
    """Returns a report of one row."""
    wire = fleet_pb2.BurnRow(
        service=KEY[0],
        kind=KEY[1],
        month=MONTH,
        total=total,
        good=good,
        worth=float(total),
        worth_served=float(good),
    )
    return fleet_pb2.BurnReport(incarnation=incarnation, rows=[wire])


def counts(total: int, good: int) -> dict:
    """Returns the rows of one process."""
    found = burn_object.BurnRow(
        total=total, good=good, worth=total, worth_served=good
    )
    return {KEY: found}


class BurnObjectTest(unittest.TestCase):
    """Merging must neither lose counts nor count them twice."""

    def setUp(self) -> None:
        self.object = burn_object.BurnObject(
            availability_zone="tay-a", month=MONTH
        )

    def total(self) -> int:
        return self.object.totals()[KEY].total

    def test_merge_is_idempotent(self):
        """Guards against counting a repeated or old report twice."""
        for rows in (counts(5, 4), counts(9, 8), counts(5, 4)):
            self.object.merge("a", rows)
        self.object.merge("b", counts(2, 2))
        self.assertEqual(11, self.total())

    def test_fold_keeps_the_sum_and_refuses_late_reports(self):
        """Guards against counting a folded process again."""
        self.object.merge("a", counts(5, 4))
        self.object.fold("a")
        self.assertFalse(self.object.merge("a", counts(7, 6)))
        self.assertEqual(5, self.total())

    def test_codec_keeps_everything(self):
        """Guards against losing fields when the object is rewritten."""
        self.object.merge("a", counts(5, 4))
        self.object.merge("b", counts(1, 1))
        self.object.fold("b")
        self.object.sample(1000.0)
        decoded = burn_object.decode(self.object.encode())
        self.assertEqual(self.object.encode(), decoded.encode())

    def test_malformed_object_is_an_error(self):
        """Guards against a page built from an incomplete object."""
        with self.assertRaises(errors.StoreError):
            burn_object.decode(b'{"month": 1}')

    def test_samples_of_a_writer_with_a_late_clock(self):
        """Guards against samples out of order after a change of writer."""
        self.object.merge("a", counts(5, 4))
        for now in (10_000.0, 9_000.0, 10_200.0, 10_400.0):
            self.object.sample(now)
        self.assertEqual(
            [10_000.0, 10_400.0], [item.at for item in self.object.samples]
        )

    def test_samples_are_bounded(self):
        """Guards against an object that grows without end."""
        self.object.merge("a", counts(5, 4))
        for number in range(10_000):
            self.object.sample(number * 300.0)
        self.assertLess(len(self.object.samples), 90)


class BurnCollectorTest(unittest.TestCase):
    """Counts must survive outages and lost replies."""

    def run_collector(self, scenario) -> None:
        async def main() -> None:
            clock = virtual_loop.VirtualClock()
            failures: list[Exception] = []
            service = timers.Timers(
                clock=clock, rng=random.Random(1), on_error=failures.append
            )
            store = fake_store.FakeStore(
                platform=platform_model.PlatformModel(clock=clock),
                clock=clock,
                timers=service,
                rng=random.Random(1),
            )
            collector = burn_collector.BurnCollector(
                clock=clock,
                timers=service,
                members=table(row(1), row(9, "entry")),
                store=store,
                log=logs.silent(),
            )
            collector.start()
            await scenario(clock, store, collector)
            service.close()
            self.assertEqual([], failures)

        virtual_loop.run(main())

    async def stored_total(self, store) -> int:
        found = await store.get(burn_object.key("tay-a", MONTH))
        return burn_object.decode(found.value).totals()[KEY].total

    def test_reports_are_written(self):
        """Guards against reports that are never written to the platform."""

        async def scenario(clock, store, collector):
            await collector.report(report(row(9).id, 5, 4))
            await clock.sleep(60)
            await collector.report(report(row(9).id, 8, 7))
            await clock.sleep(60)
            self.assertEqual(8, await self.stored_total(store))

        self.run_collector(scenario)

    def test_outage_delays_only(self):
        """Guards against losing counts during a platform outage."""

        async def scenario(clock, store, collector):
            store.platform.faults.outage = True
            await collector.report(report(row(9).id, 5, 4))
            await clock.sleep(7200)
            store.platform.faults.outage = False
            await clock.sleep(60)
            self.assertEqual(5, await self.stored_total(store))

        self.run_collector(scenario)

    def test_months_turn_during_an_outage(self):
        """Guards against writing counts to the wrong month."""

        async def scenario(clock, store, collector):
            store.platform.faults.outage = True
            await collector.report(report(row(9).id, 5, 4))
            later = report(row(9).id, 3, 3)
            later.rows[0].month = "2027-02"
            await collector.report(later)
            await clock.sleep(7200)
            store.platform.faults.outage = False
            await clock.sleep(60)
            self.assertEqual(5, await self.stored_total(store))
            found = await store.get(burn_object.key("tay-a", "2027-02"))
            totals = burn_object.decode(found.value).totals()
            self.assertEqual(3, totals[KEY].total)

        self.run_collector(scenario)

    def test_lost_reply_counts_once(self):
        """Guards against double counts after a write of unknown outcome."""

        async def scenario(clock, store, collector):
            store.platform.faults.lose_write_replies = 1
            await collector.report(report(row(9).id, 5, 4))
            await clock.sleep(120)
            self.assertEqual(5, await self.stored_total(store))

        self.run_collector(scenario)


class ScriptedPeers(burn_peers.BurnPeers):
    """Peers that record reports and fail on demand."""

    def __init__(self) -> None:
        self.reports: list[tuple[str, int]] = []
        self.is_down = False

    async def report_burn(self, address, report, *, timeout_s):
        """Records a report."""
        if self.is_down:
            raise errors.PeerOutcomeUnknown("no reply")
        self.reports.append((address, len(report.rows)))
        return fleet_pb2.BurnAck(accepted=True)


class BurnSenderTest(unittest.TestCase):
    """An entry must resend what was not acknowledged."""

    def test_unacknowledged_rows_are_sent_again(self):
        """Guards against losing counts with a lost report."""

        async def main() -> None:
            clock = virtual_loop.VirtualClock()
            parsed = service_file.ServiceFile.model_validate(
                test_service_file.valid()
            )
            counters = burn_counters.BurnCounters(clock=clock)
            counters.record(
                parsed,
                parsed.kinds[0],
                caller_request.CallerAnswer(
                    status=200, verdict=verdict.Verdict.RAN
                ),
                elapsed_s=0.1,
            )
            peers = ScriptedPeers()
            sender = burn_sender.BurnSender(
                counters=counters,
                members=table(row(9, "entry"), row(1), row(2), row(3)),
                peers=peers,
                timers=timers.Timers(
                    clock=clock, rng=random.Random(1), on_error=print
                ),
                log=logs.silent(),
            )
            peers.is_down = True
            await sender.send()
            peers.is_down = False
            await sender.send()
            await sender.send()
            self.assertEqual([1, 1], [count for _, count in peers.reports])
            self.assertEqual(2, len({at for at, _ in peers.reports}))

        virtual_loop.run(main())

    def test_members_of_the_zone_agree_on_the_writer(self):
        """Guards against members that choose different writers."""
        rows = [row(1), row(2), row(3)]
        chosen = {
            burn_collectors.choose(table(own, *rows))[0].id for own in rows
        }
        self.assertEqual(1, len(chosen))


class BurnViewTest(unittest.TestCase):
    """The report must match the counters."""

    def setUp(self) -> None:
        content = test_service_file.valid()
        content["objectives"] = [
            {"kind": "lookup", "within_ms": 100, "ratio": 0.9}
        ]
        parsed = service_file.ServiceFile.model_validate(content)
        zones = []
        for name in ("tay-a", "tay-b"):
            zone = burn_object.BurnObject(availability_zone=name, month=MONTH)
            zone.merge("a", counts(100, 100))
            zone.sample(0.0)
            zone.merge("a", counts(200, 160))
            zone.sample(4000.0)
            zones.append(zone)
        self.kinds = burn_view.combine(zones, {"larder": parsed})

    def test_budget_and_burn_rates(self):
        """Guards against a burn rate that hides a bad hour."""
        (item,) = self.kinds
        self.assertEqual((400, 320), (item.counts.total, item.counts.good))
        self.assertAlmostEqual(-1.0, item.budget_left)
        self.assertAlmostEqual(4.0, item.burn_short)
        self.assertAlmostEqual(2.0, item.burn_long)

    def test_page_shows_kinds_and_plots(self):
        """Guards against an empty page and unescaped names."""
        view = burn_view.BurnView(
            month=MONTH, kinds=self.kinds, problems=["<broken>"]
        )
        ejections = [
            {"service": "larder", "target": "larder-1", "state": "ejected"}
        ]
        change = service_status.StatusChange(
            at=1.8e9,
            target="<larder-2>",
            change=service_status.READMITTED,
            reason="floor",
            score=9.0,
            threshold=8.0,
            member="m7",
        )
        page = burn_page.render(
            view,
            ejections,
            history=[{"service": "larder"} | change.as_dict()],
            at=0.0,
        )
        self.assertIn("<td>&lt;larder-2&gt;</td><td>readmitted</td>", page)
        self.assertIn("<td>m7</td>", page)
        self.assertIn("larder/lookup", page)
        self.assertIn("larder-1", page)
        self.assertIn("&lt;broken&gt;", page)
        self.assertEqual(2, page.count("data:image/png;base64,"))
