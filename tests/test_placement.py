"""Tests of target selection."""

import collections
import random
import unittest
from unittest import mock

from bench import front_fakes
from fuchsiacourse.front import failure_share
from fuchsiacourse.front import floor_trials
from fuchsiacourse.front import outcome
from fuchsiacourse.front import placement
from fuchsiacourse.front import rate_limiter
from fuchsiacourse.front import service_times
from fuchsiacourse.front import target as targets


class PlacementTest(unittest.TestCase):
    """Guards against requests at targets with a higher expected loss."""

    def setUp(self) -> None:
        self.clock = front_fakes.ManualClock()
        times = service_times.ServiceTimes()
        times.add(front_fakes.SERVICE, 0.3)
        self.failures = failure_share.FailureShare()
        self.lost_share = 0.0
        self.limiter = rate_limiter.RateLimiter(
            clock=self.clock,
            availability_zone="a",
            regions_by_zone=front_fakes.ZONES,
            live_share=lambda: 1.0,
        )
        self.placement = placement.Placement(
            clock=self.clock,
            rng=random.Random(1),
            availability_zone="a",
            regions_by_zone=front_fakes.ZONES,
            times=times,
            trials=floor_trials.FloorTrials(
                clock=self.clock,
                rng=random.Random(2),
                bounds=front_fakes.bounds(),
                failures=self.failures,
                lost_share=lambda: self.lost_share,
                limiter=self.limiter,
            ),
            limiter=self.limiter,
        )

    def target(self, id: str, zone: str = "a", **changes) -> targets.Target:
        made = targets.Target(
            record=front_fakes.record(id, availability_zone=zone, **changes),
            now_s=self.clock.now(),
        )
        made.health.observe(
            outcome.Outcome.ANSWERED, self.clock.now(), took_s=0.3
        )
        return made

    def choose(
        self, *found, is_retryable=False, avoid=()
    ) -> targets.Target | None:
        return self.placement.choose(
            found,
            objective_s=1.0,
            is_retryable=is_retryable,
            avoid=avoid,
        )

    def test_healthy_target_is_preferred_to_an_unhealthy_one(self):
        """Guards against choosing a failing target because it is nearer."""
        unhealthy, healthy = self.target("sick"), self.target("well", zone="b")
        unhealthy.health.observe(outcome.Outcome.FAILED, self.clock.now())
        for _ in range(20):
            self.assertIs(healthy, self.choose(unhealthy, healthy))

    def test_own_zone_then_own_region_then_others(self):
        """Guards against needless traffic to other zones and regions."""
        near, zone, far = (
            self.target("near"),
            self.target("zone", zone="b"),
            self.target("far", zone="c"),
        )
        self.assertIs(near, self.choose(far, zone, near))
        self.assertIs(zone, self.choose(far, zone))
        self.assertIs(far, self.choose(far))

    def test_other_region_is_preferred_to_a_failing_target(self):
        """Guards against choosing a failing target to stay in the region."""
        unhealthy, far = self.target("sick"), self.target("far", zone="c")
        for _ in range(2):
            unhealthy.health.observe(outcome.Outcome.FAILED, self.clock.now())
        self.assertIs(far, self.choose(unhealthy, far))

    def test_draining_and_misdirected_targets_are_not_chosen(self):
        """Guards against requests to targets that mustn't get any."""
        leaving = self.target("leaving", is_draining=True)
        misdirected = self.target("misdirected")
        misdirected.is_misdirected = True
        self.assertIsNone(self.choose(leaving, misdirected))

    def test_target_with_free_slots_is_preferred_to_a_full_one(self):
        """Guards against queuing at a full target while another is free."""
        full, free = self.target("full"), self.target("free", zone="b")
        full.load.change(6, self.clock.now())
        self.assertIs(free, self.choose(full, free))

    def test_declines_of_all_do_not_hide_the_unhealthy_target(self):
        """Guards against declines that hide the evidence of failures."""
        unhealthy, healthy = self.target("sick"), self.target("well")
        for target in (unhealthy, healthy):
            for _ in range(10):
                target.declines.observe(
                    outcome.Outcome.DECLINED, self.clock.now()
                )
        unhealthy.health.observe(outcome.Outcome.FAILED, self.clock.now())
        for _ in range(20):
            self.assertIs(healthy, self.choose(unhealthy, healthy))

    def test_declining_target_is_avoided(self):
        """Guards against sending on to a target that declines."""
        declining, other = self.target("declining"), self.target("other")
        for _ in range(3):
            declining.declines.observe(
                outcome.Outcome.DECLINED, self.clock.now()
            )
        self.assertIs(other, self.choose(declining, other))

    def test_requests_spread_over_equal_targets(self):
        """Guards against uneven load on equal targets."""
        found = [self.target(f"t{number}") for number in range(4)]
        counts = collections.Counter()
        for _ in range(40):
            chosen = self.choose(*found)
            chosen.load.change(1, self.clock.now())
            counts[chosen.record.id] += 1
        self.assertEqual({10}, set(counts.values()))

    def used_under_light_load(self, *, is_retryable: bool) -> set[str]:
        """Returns the targets used in 2 s when half were suspected before."""
        found = [self.target(f"t{number}") for number in range(10)]
        for target in found[:5]:
            target.health.observe(outcome.Outcome.FAILED, self.clock.now())
        self.clock.now_s += 15.0
        for target in found[5:]:
            target.health.observe(outcome.Outcome.ANSWERED, self.clock.now())
        used = set()
        for _ in range(60):
            chosen = self.choose(*found, is_retryable=is_retryable)
            chosen.last_used_s = self.clock.now()
            used.add(chosen.record.id)
            self.clock.now_s += 2.0 / 60
        return used

    def test_formerly_suspected_targets_are_tried_for_the_floor(self):
        """Guards against idle targets that stay suspected for ever."""
        used = self.used_under_light_load(is_retryable=True)
        self.assertGreaterEqual(len(used), 7)

    def test_floor_of_a_service_without_retryable_requests_is_kept(self):
        """Guards against too few targets in use when many fronts go down.

        The requests of the seconds before it count as failed.
        """
        used = self.used_under_light_load(is_retryable=False)
        self.assertGreaterEqual(len(used), 7)

    def test_non_retryable_request_is_no_trial_above_the_floor(self):
        """Guards against a trial with a request that can't be retried.

        Eight of ten targets are in use, more than the floor needs.
        """
        found = [self.target(f"t{number}") for number in range(10)]
        for target in found[:2]:
            target.health.observe(outcome.Outcome.FAILED, self.clock.now())
        self.clock.now_s += 15.0
        for number in range(300):
            for target in found[2:]:
                target.health.observe(
                    outcome.Outcome.ANSWERED, self.clock.now()
                )
            # All healthy targets get a request within 1.7 s.
            chosen = found[2 + number] if number < 8 else self.choose(*found)
            chosen.last_used_s = self.clock.now()
            self.assertNotIn(chosen, found[:2])
            self.clock.now_s += 0.03

    def test_floor_of_a_service_that_fails_is_kept_by_any_request(self):
        """Guards against too few targets of a service of unsafe requests.

        Targets that were suspected once have no retryable requests that
        would try them.
        """
        for _ in range(20):
            self.failures.observe(
                front_fakes.SERVICE,
                outcome.Outcome.FAILED,
                self.clock.now() + 15.0,
            )
        used = self.used_under_light_load(is_retryable=False)
        self.assertGreaterEqual(len(used), 7)

    def test_floor_is_kept_while_fronts_are_down(self):
        """Guards against failures that no front sees but callers do."""
        self.lost_share = 0.2
        used = self.used_under_light_load(is_retryable=False)
        self.assertGreaterEqual(len(used), 7)

    def test_trials_of_unsafe_requests_are_as_few_as_the_floor_needs(self):
        """Guards against trials that fail and so ask for more trials.

        A third of the targets is suspected at any time, as with gray
        failures of some seconds, and the service has many requests.
        """
        found = [self.target(f"t{number}") for number in range(20)]
        for target in found[:8]:
            target.health.observe(outcome.Outcome.FAILED, self.clock.now())
        self.clock.now_s += 12.0
        trials = 0
        for number in range(1000):
            self.clock.now_s += 0.01
            self.failures.observe(
                front_fakes.SERVICE,
                (
                    outcome.Outcome.ANSWERED
                    if number % 8
                    else outcome.Outcome.FAILED
                ),
                self.clock.now(),
            )
            for target in found[8:]:
                target.health.observe(
                    outcome.Outcome.ANSWERED, self.clock.now()
                )
            chosen = self.choose(*found)
            chosen.last_used_s = self.clock.now()
            trials += chosen in found[:8]
        self.assertGreater(trials, 10)
        self.assertLess(trials, 60)

    def test_few_requests_are_trials(self):
        """Guards against too many trials at targets that may fail."""
        unhealthy = [self.target(f"s{number}") for number in range(9)]
        healthy = self.target("well")
        for target in unhealthy:
            target.health.observe(outcome.Outcome.FAILED, self.clock.now())
        self.clock.now_s += 15.0
        count = sum(
            self.choose(healthy, *unhealthy, is_retryable=True) is not healthy
            for _ in range(1000)
        )
        self.assertLess(count, 1000 * 0.25)

    def test_choice_among_full_targets_rates_a_bounded_number(self):
        """Guards against choices that take longest in an overload.

        All targets are full, so that none of a sample has a low loss.
        """
        found = [self.target(f"t{number}") for number in range(300)]
        for target in found:
            target.load.change(9, self.clock.now())
        with mock.patch.object(
            placement.Placement,
            "_loss",
            autospec=True,
            side_effect=placement.Placement._loss,
        ) as rate:
            self.assertIsNotNone(self.choose(*found))
        self.assertLessEqual(rate.call_count, 2 * placement.MAX_RATED)

    def test_all_equal_targets_are_used(self):
        """Guards against equal targets that stay idle under a light load."""
        found = [self.target(f"t{number}") for number in range(10)]
        used = set()
        for _ in range(12):
            self.clock.now_s += 0.05
            chosen = self.choose(*found)
            chosen.last_used_s = self.clock.now()
            used.add(chosen.record.id)
        self.assertEqual(10, len(used))

    def test_new_target_is_tried(self):
        """Guards against a new target whose capacity stays unused."""
        joined = targets.Target(
            record=front_fakes.record("joined"), now_s=self.clock.now()
        )
        known = self.target("known")
        self.assertIs(joined, self.choose(known, joined))

    def test_avoided_target_is_chosen_only_without_others(self):
        """Guards against a needless retry at the target that was tried."""
        first, other = self.target("first"), self.target("other", zone="c")
        self.assertIs(other, self.choose(first, other, avoid=[first]))
        self.assertIs(first, self.choose(first, avoid=[first]))

    def test_failed_path_of_this_front_counts(self):
        """Guards against ignoring a path that fails for this front only."""
        unreachable, healthy = self.target("cut"), self.target(
            "well", zone="b"
        )
        unreachable.path_health.observe(
            outcome.Outcome.UNREACHED, self.clock.now()
        )
        self.assertIs(healthy, self.choose(unreachable, healthy))
