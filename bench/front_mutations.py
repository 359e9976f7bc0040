"""Mutation testing of the front's safeguards.

Each mutation disables one safeguard in a copy of the tree and runs the test
that guards the rule. A mutation that the test doesn't detect shows that the
test doesn't check the rule.
"""

from __future__ import annotations

import pathlib
import shutil
import subprocess
import sys
import tempfile

import typer

FOLDERS = ("fuchsiacourse", "bench", "tests", "samples", "schema")
FILES = ("unittest.cfg", "pyproject.toml")
# Time after which a test, or below the fault soak, counts as failed, in
# seconds.
TEST_TIMEOUT_S = 60.0
# Rules whose mutations the fault soak detects within a few seeds.
SOAK_RULES = frozenset(
    ("MIXED: late answers", "TWICE", "REFUSED", "DRAIN: draining targets")
)
SOAK_COMMAND = ["-m", "bench.fault_soak", "--seeds=4", "--seconds=30"]
SOAK_TIMEOUT_S = 400.0

# Tests of a real front process are named one by one, because all together
# they take longer than TEST_TIMEOUT_S.
_PLANNED_STOP = "tests.test_planned_stop.PlannedStopTest"


class Mutation:
    """Change of the source that disables one safeguard.

    Args:
        rule: Rule that the safeguard enforces.
        module: File name in the package of the front.
        before: Source of the safeguard; it must occur exactly once.
        after: Source that replaces it.
        test: Test module that must fail.
    """

    __slots__ = ("rule", "module", "before", "after", "test")

    def __init__(
        self, *, rule: str, module: str, before: str, after: str, test: str
    ) -> None:
        self.rule = rule
        self.module = module
        self.before = before
        self.after = after
        self.test = test

    def apply(self, root: pathlib.Path) -> None:
        """Applies the replacement to the source tree under a root.

        Raises:
            ValueError: The source of the safeguard doesn't occur exactly
                once.
        """
        path = root / "fuchsiacourse" / "front" / self.module
        source = path.read_text(encoding="utf-8")
        if source.count(self.before) != 1:
            raise ValueError(
                f"{self.module}: {self.before!r} must occur exactly once"
            )
        path.write_text(
            source.replace(self.before, self.after), encoding="utf-8"
        )


MUTATIONS = (
    Mutation(
        rule="CONFIG: versions beyond the width of a packet",
        module="membership_packet.py",
        before="min(_MAX_32, self.config_version)",
        after="self.config_version",
        test="tests.test_membership",
    ),
    Mutation(
        rule="CONFIG: followers that fail",
        module="store_follower.py",
        before="                era, self.copy = self.copy.era,",
        after="                raise\n                era, self.copy = 0,",
        test="tests.test_silent_store",
    ),
    Mutation(
        rule="CONFIG: callers of a front whose follower fails",
        module="readiness.py",
        before="not self.has_failed_follower or not self.has_ready_peer()",
        after="True",
        test="tests.test_readiness",
    ),
    Mutation(
        rule="UNASKED: two readers of one body",
        module="request_run.py",
        before="                and self._request.rest is None\n",
        after="                and not self._request.is_consumed\n",
        test="tests.test_body_stream",
    ),
    Mutation(
        rule="LOST: answers that callers have not taken at a stop",
        module="caller_server.py",
        before=" or item.has_unsent_answer\n",
        after="\n",
        test="tests.test_caller_connection",
    ),
    Mutation(
        rule="DRAIN: targets that say in answers that they leave",
        module="target.py",
        before="or self.is_misdirected or self.is_leaving",
        after="or self.is_misdirected",
        test="tests.test_target_wishes",
    ),
    Mutation(
        rule="DRAIN: leaving targets that are registered again",
        module="target_table.py",
        before="target.is_leaving = target.key in self._leaving_keys",
        after="target.is_leaving = False",
        test="tests.test_target_wishes",
    ),
    Mutation(
        rule="BUDGET: targets that want nothing for some time",
        module="rate_limiter.py",
        before="opens_at_s = target.held_until_s",
        after="opens_at_s = 0.0",
        test="tests.test_target_wishes",
    ),
    Mutation(
        rule="RECOVER: fronts that are cut off from all targets",
        module="target_reach.py",
        before="        self.is_cut_off = True",
        after="        self.is_cut_off = False",
        test="tests.test_partitioned_fronts",
    ),
    Mutation(
        rule="RECOVER: connections that outlive a cut",
        module="target_reach.py",
        before="if connected_s < self._doubted_since_s:",
        after="if False:",
        test="tests.test_reach_monitor",
    ),
    Mutation(
        rule="RECOVER: evidence of fronts that are cut off",
        module="reach_monitor.py",
        before="record(outcomes.Outcome.CANCELLED if self.is_cut_off",
        after="record(outcome if self.is_cut_off",
        test="tests.test_reach_monitor",
    ),
    Mutation(
        rule="RECOVER: failures of targets for all fronts",
        module="target_reach.py",
        before="            or age_s > PEER_ANSWER_S",
        after="            or age_s < 0.0",
        test="tests.test_reach_monitor",
    ),
    Mutation(
        rule="CONFIG: pings in an outage of the store",
        module="store_relay.py",
        before="is_lost and self._election.is_recovery_poller",
        after="is_lost and False",
        test="tests.test_silent_store",
    ),
    Mutation(
        rule="CONFIG: calls that a silent store has swallowed",
        module="store_follower.py",
        before="            return\n        self._gives_up_watch = True",
        after="            return\n        self._gives_up_watch = False",
        test="tests.test_silent_store",
    ),
    Mutation(
        rule="CONFIG: revisions of two eras",
        module="object_copy.py",
        before=(
            'up to which all is known."""\n'
            "        return self.era, self.revision"
        ),
        after=(
            'up to which all is known."""\n' "        return 9, self.revision"
        ),
        test="tests.test_store_restored",
    ),
    Mutation(
        rule="CONFIG: watch in another era",
        module="store_follower.py",
        before="if after and batch.era != self.copy.era:",
        after="if False:",
        test="tests.test_target_follower",
    ),
    Mutation(
        rule="CONFIG: answers of an earlier era",
        module="store_follower.py",
        before="if batch.era < self.copy.era:",
        after="if False:",
        test="tests.test_target_follower",
    ),
    Mutation(
        rule="DRAIN: registrations of an older copy",
        module="target_follower.py",
        before="if self._is_restored and self._holds_back(item, record):",
        after="if False:",
        test="tests.test_store_restored",
    ),
    Mutation(
        rule="LIMIT: starts of other fronts",
        module="evidence_collector.py",
        before=(
            "            self._limiter.record_start(target)\n"
            "            return\n"
        ),
        after="            return\n",
        test="tests.test_limited_targets",
    ),
    Mutation(
        rule="LIMIT: choice of targets",
        module="placement.py",
        before="            and self._limiter.permits(item)\n",
        after="",
        test="tests.test_limited_targets",
    ),
    Mutation(
        rule="LIMIT: starts told through hubs",
        module="membership.py",
        before="if item.is_paced or not _is_first_start(item)",
        after="if not _is_first_start(item)",
        test="tests.test_limited_targets",
    ),
    Mutation(
        rule="MIXED: late answers",
        module="client_connection.py",
        before="self._waiter is not None and self._accepts(answer)",
        after="self._waiter is not None",
        test="tests.test_pooled_sender",
    ),
    Mutation(
        rule="MIXED: unsigned answers",
        module="pooled_sender.py",
        before="elif not fields.is_signed and not answer.is_server_error:",
        after="elif False:",
        test="tests.test_pooled_sender",
    ),
    Mutation(
        rule="DENIED: unsigned denials",
        module="pooled_sender.py",
        before="elif not fields.is_signed and not answer.is_server_error:",
        after="elif answer.is_success and not fields.is_signed:",
        test="tests.test_unsigned_answers",
    ),
    Mutation(
        rule="TWICE: late refusals",
        module="pooled_sender.py",
        before="return is_idempotent or not connection.is_out_of_sync",
        after="return True",
        test="tests.test_pooled_sender",
    ),
    Mutation(
        rule="TWICE: second copies of refusals",
        module="pooled_sender.py",
        before="if is_idempotent and request.rest is None:",
        after="if request.rest is None:",
        test="tests.test_pooled_sender",
    ),
    Mutation(
        rule="COST: tiny parts that are kept one by one",
        module="body_stream.py",
        before="if parts and len(parts[-1]) + len(data) <= JOINED_BYTES:",
        after="if False:",
        test="tests.test_body_stream",
    ),
    Mutation(
        rule="COST: tiny parts that are read one by one",
        module="body_stream.py",
        before="if not parts or size + len(parts[0]) > READ_BYTES:",
        after="if True:",
        test="tests.test_body_stream",
    ),
    Mutation(
        rule="COST: header lines without end",
        module="answer_parser.py",
        before="if len(self._headers) >= MAX_HEAD_LINES:",
        after="if False:",
        test="tests.test_answer_parser",
    ),
    Mutation(
        rule="COST: pace of answers in tiny parts",
        module="client_connection.py",
        before="self._paced.charge(parts, content_bytes)",
        after="pass",
        test="tests.test_costly_answers",
    ),
    Mutation(
        rule="COST: answers in tiny parts without end",
        module="client_connection.py",
        before="if is_charged and self._meter.is_exhausted:",
        after="if False:",
        test="tests.test_costly_answers",
    ),
    Mutation(
        rule="COST: ordinary answers beside a flood",
        module="client_connection.py",
        before="FREE_ANSWER_PARTS = 64",
        after="FREE_ANSWER_PARTS = 0",
        test="tests.test_costly_answers",
    ),
    Mutation(
        rule="COST: log of dropped answers",
        module="client_connection.py",
        before="if isinstance(error, errors.AnswerLimitExceeded):",
        after="if False:",
        test="tests.test_costly_answers",
    ),
    Mutation(
        rule="MIXED: bytes that wait behind an answer",
        module="client_connection.py",
        before="has_next = bool(self._paced.waiting) or "
        "self._parser.has_begun",
        after="has_next = self._parser.has_begun",
        test="tests.test_costly_answers",
    ),
    Mutation(
        rule="MIXED: end of an answer that is read at once",
        module="client_connection.py",
        before="if was_streaming and not self._is_awaited:",
        after="if was_streaming and self._waiter is None:",
        test="tests.test_costly_answers",
    ),
    Mutation(
        rule="COST: memory of long answers together",
        module="answer_budget.py",
        before="share = MAX_BYTES // max(1, self._answers)",
        after="share = MAX_BYTES",
        test="tests.test_costly_answers",
    ),
    Mutation(
        rule="COST: memory of answers that have ended",
        module="answer_parser.py",
        before="            self._budget.remove()",
        after="            pass",
        test="tests.test_costly_answers",
    ),
    Mutation(
        rule="COST: memory of answers that are cut off",
        module="client_connection.py",
        before="        self._parser.release()\n",
        after="        pass\n",
        test="tests.test_costly_answers",
    ),
    Mutation(
        rule="COST: callers that do not read",
        module="client_connection.py",
        before="if self._is_stream_full or self._paced.is_paused:",
        after="if self._paced.is_paused:",
        test="tests.test_costly_answers",
    ),
    Mutation(
        rule="MIXED: cut long answers",
        module="caller_connection.py",
        before="                self._transport.abort()",
        after='                self._send(body_stream.chunk(b""))',
        test="tests.test_body_stream",
    ),
    Mutation(
        rule="TWICE: long bodies",
        module="request_run.py",
        before="if self._request.is_consumed and step is not",
        after="if False and step is not",
        test="tests.test_body_stream",
    ),
    Mutation(
        rule="UNASKED: ambiguous host",
        module="request_parser.py",
        before='if counts[b"host"] != 1:',
        after="if False:",
        test="tests.test_request_parser",
    ),
    Mutation(
        rule="TWICE",
        module="retry_policy.py",
        before="(outcome.is_not_run or state.is_idempotent)",
        after="True",
        test="tests.test_retry_policy",
    ),
    Mutation(
        rule="REFUSED",
        module="final_answers.py",
        before="if not may_have_run:",
        after="if True:",
        test="tests.test_request_run",
    ),
    Mutation(
        rule="DENIED",
        module="forwarder.py",
        before="if not self.is_config_current():",
        after="if False:",
        test="tests.test_request_run",
    ),
    Mutation(
        rule="BUDGET: targets",
        module="request_run.py",
        before=(
            "        used.update(item.target.key for item in"
            " self._running.values())\n"
        ),
        after="",
        test="tests.test_request_run",
    ),
    Mutation(
        rule="BUDGET: repeats",
        module="retry_policy.py",
        before="if state.budget < 1.0:",
        after="if False:",
        test="tests.test_retry_policy",
    ),
    Mutation(
        rule="BUDGET: crashes",
        module="forwarder.py",
        before="if self.suspects.is_blocked(fingerprint):",
        after="if False:",
        test="tests.test_request_run",
    ),
    Mutation(
        rule="BUDGET: crashes that a restarted front has not seen",
        module="suspect_copier.py",
        before="blocked = self._suspects.merge(found)",
        after="blocked = len(found)",
        test="tests.test_suspect_copies",
    ),
    Mutation(
        rule="GONE",
        module="request_run.py",
        before="        return self._route.is_idempotent\n\n    async def",
        after="        return False\n\n    async def",
        test="tests.test_request_run",
    ),
    Mutation(
        rule="DRAIN: draining targets",
        module="target.py",
        before="self.record.is_draining or self.is_misdirected",
        after="self.is_misdirected",
        test="tests.test_target_follower",
    ),
    Mutation(
        rule="DRAIN: silent store",
        module="store_relay.py",
        before="PING_TIMEOUT_S = 0.5",
        after="PING_TIMEOUT_S = 100.0",
        test="tests.test_store_relay",
    ),
    Mutation(
        rule="DRAIN: no watcher in contact",
        module="relay_election.py",
        before="proven == 0 and not self.is_starting(now_s)",
        after="False",
        test="tests.test_store_relay",
    ),
    Mutation(
        rule="LOST: SIGTERM",
        module="front_program.py",
        before="while self._clock.now() < schedule.listens_until_s:",
        after="while False:",
        test="tests.test_front_process",
    ),
    Mutation(
        rule="LOST: requests that come late in a stop",
        module="forwarder.py",
        before="return self._refuse_for_stop(fields, request)\n        finger",
        after="pass\n        finger",
        test=f"{_PLANNED_STOP}.test_late_request_on_kept_connection",
    ),
    Mutation(
        rule="LOST: uploads that a stop finds half read",
        module="caller_server.py",
        before="            or item.is_reading\n",
        after="",
        test=f"{_PLANNED_STOP}.test_upload_that_fits_is_waited_for",
    ),
    Mutation(
        rule="LOST: uploads that come too late in a stop",
        module="forwarder.py",
        before="        fields = self.protocol.request_fields(request)\n"
        "        return self._refuse_for_stop(fields, request)",
        after="        return None",
        test=f"{_PLANNED_STOP}.test_late_upload_is_refused_before_its_end",
    ),
    Mutation(
        rule="LOST: forwarded uploads that come too late in a stop",
        module="forwarder.py",
        before="if run.is_receiving and not",
        after="if False and not",
        test="tests.test_stopping_front",
    ),
    Mutation(
        rule="LOST: answers that callers take at the end of a stop",
        module="front_program.py",
        before="            front_server.writing\n",
        after="            False\n",
        test=f"{_PLANNED_STOP}.test_answer_that_a_caller_takes_at_the_end",
    ),
    Mutation(
        rule="UNASKED: dropped parts of a body that ends",
        module="body_stream.py",
        before="        self._finish(error)\n        if self._parts:",
        after="        if self._parts:",
        test="tests.test_body_stream",
    ),
    Mutation(
        rule="LOST: connections whose body nobody reads",
        module="caller_connection.py",
        before="            rest.close()\n"
        "        await self._wait_until_taken()",
        after="            pass\n        await self._wait_until_taken()",
        test="tests.test_caller_connection",
    ),
    Mutation(
        rule="COST: answers that a caller doesn't take",
        module="caller_connection.py",
        before="        await self._wait_until_taken()\n        self._task",
        after="        self._task",
        test="tests.test_caller_connection",
    ),
    Mutation(
        rule="COST: whole answers for old callers",
        module="caller_connection.py",
        before="if not self._server.budget.reserve(len(part)):",
        after="if False:",
        test="tests.test_caller_connection",
    ),
    Mutation(
        rule="LOST: answers to callers that still send",
        module="caller_connection.py",
        before="if self._transport is None or not is_needed:",
        after="if True:",
        test="tests.test_caller_connection",
    ),
    Mutation(
        rule="DENIED: others beside uploads in tiny parts",
        module="request_parser.py",
        before="self._charge_meter(self._parts, self._part_bytes)",
        after="pass",
        test="tests.test_upload_parts",
    ),
    Mutation(
        rule="DENIED: uploads in tiny parts without end",
        module="request_parser.py",
        before="        if self._meter.is_exhausted:",
        after="        if False:",
        test="tests.test_upload_parts",
    ),
    Mutation(
        rule="DENIED: memory of waiting requests",
        module="caller_connection.py",
        before="        self._reserve_held()\n",
        after="",
        test="tests.test_upload_parts",
    ),
    Mutation(
        rule="LOST: memory of waiting requests",
        module="caller_connection.py",
        before="        self._server.budget.release(self._held_bytes)\n"
        "        self._held_bytes = 0\n        self._server.remove",
        after="        self._server.remove",
        test="tests.test_upload_parts",
    ),
    Mutation(
        rule="DENIED: memory of requests behind an answer",
        module="caller_connection.py",
        before="            self._update_reading()\n            return\n",
        after="            return\n",
        test="tests.test_upload_parts",
    ),
    Mutation(
        rule="UNASKED: first part of a body that is cut off",
        module="caller_connection.py",
        before="if self._transport is None or self._input.is_consuming:",
        after="if self._transport is None:",
        test="tests.test_upload_parts",
    ),
    Mutation(
        rule="DENIED: heads of tiny lines",
        module="request_parser.py",
        before="if count > MAX_HEADER_LINES:",
        after="if False:",
        test="tests.test_request_parser",
    ),
    Mutation(
        rule="DENIED: bytes of a caller that must wait",
        module="paced_input.py",
        before="not (self.is_paused or self._is_held):",
        after="not self.is_paused:",
        test="tests.test_paced_input",
    ),
    Mutation(
        rule="LOST: requests in progress at the exit",
        module="front_program.py",
        before="                self._forwarder.end_runs()\n",
        after="                pass\n",
        test=f"{_PLANNED_STOP}.test_work_beyond_the_grace_time",
    ),
    Mutation(
        rule="REFUSED: requests that a stop ends",
        module="request_run.py",
        before="may_have_run=self._may_have_run or bool(self._running),",
        after="may_have_run=False,",
        test="tests.test_stopping_front",
    ),
    Mutation(
        rule="LOST: pipelined requests at a stop",
        module="caller_connection.py",
        before="is_last = self._server.is_stopping and not has_next",
        after="is_last = self._server.is_stopping",
        test="tests.test_caller_connection",
    ),
    Mutation(
        rule="LOST: SIGHUP",
        module="front_program.py",
        before=(
            "        loop.add_signal_handler(signal.SIGHUP,"
            " self._watch.reload)\n"
        ),
        after="",
        test="tests.test_front_process",
    ),
    Mutation(
        rule="CONFIG",
        module="config_follower.py",
        before="if table.version <= self.version:",
        after="if False:",
        test="tests.test_config_follower",
    ),
    Mutation(
        rule="FLOOR",
        module="placement.py",
        before="RECENT_LOSS = 0.015",
        after="RECENT_LOSS = 0.0",
        test="tests.test_placement",
    ),
    Mutation(
        rule="FLOOR: once suspected targets",
        module="floor_trials.py",
        before="TRIAL_SHARE = 0.2",
        after="TRIAL_SHARE = 0.0",
        test="tests.test_placement",
    ),
    Mutation(
        rule="FLOOR: services of unsafe requests",
        module="floor_trials.py",
        before="share = self._steady_share + needed",
        after="share = 0.0",
        test="tests.test_placement",
    ),
    Mutation(
        rule="FLOOR: trials that settle below it",
        module="floor_trials.py",
        before="share = self._steady_share + needed",
        after="share = needed",
        test="tests.test_floor_in_use",
    ),
    Mutation(
        rule="LOST: new connections at a stop",
        module="caller_connection.py",
        before=(
            "if is_idle and not ("
            "self.awaits_first_request or self.is_lingering):"
        ),
        after="if is_idle:",
        test="tests.test_caller_connection",
    ),
    Mutation(
        rule="DENIED: faults of the front",
        module="request_parser.py",
        before="_SERVER_ERROR = 500",
        after="_SERVER_ERROR = 400",
        test="tests.test_caller_connection",
    ),
    Mutation(
        rule="RECOVER: silent hubs",
        module="hub_choice.py",
        before="if now_s - heard_s <= HUB_TIMEOUT_S:",
        after="if True:",
        test="tests.test_bundled_membership",
    ),
    Mutation(
        rule="CONFIG: overtaken heartbeats",
        module="membership.py",
        before="if peer is None or packet.sequence > peer.sequence:",
        after="if True:",
        test="tests.test_bundled_membership",
    ),
    Mutation(
        rule="BUDGET: many fronts",
        module="retry_budget.py",
        before="USED_SHARE = 0.85",
        after="USED_SHARE = 1.1",
        test="tests.test_retry_budget",
    ),
    Mutation(
        rule="RECOVER: start without the store",
        module="store_relay.py",
        before="            peers = self._membership.peers.live()\n",
        after="            peers = []\n",
        test="tests.test_store_relay",
    ),
)


def survives(mutation: Mutation, command: list[str], timeout_s: float) -> bool:
    """Returns whether a command succeeds in spite of a mutation.

    Args:
        mutation: Mutation to apply to a copy of the tree.
        command: Arguments of the interpreter, run in that copy.
        timeout_s: Time after which the command counts as failed, in seconds.
    """
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        for name in FOLDERS:
            shutil.copytree(
                name,
                root / name,
                ignore=shutil.ignore_patterns("__pycache__"),
            )
        for name in FILES:
            shutil.copy(name, root / name)
        mutation.apply(root)
        try:
            done = subprocess.run(
                [sys.executable, *command],
                cwd=root,
                capture_output=True,
                timeout=timeout_s,
                check=False,
            )
        except subprocess.TimeoutExpired:
            # A test that hangs counts as a detected mutation.
            return False
    return done.returncode == 0


def main(soak: bool = False) -> None:
    """Runs all mutations; exits with 1 if one is not detected.

    Args:
        soak: Whether to run the fault soak, for the rules in ``SOAK_RULES``,
            in place of the tests.
    """
    survivors = 0
    chosen = [
        item for item in MUTATIONS if item.rule in SOAK_RULES or not soak
    ]
    for mutation in chosen:
        command, timeout_s = ["-m", "nose2", mutation.test], TEST_TIMEOUT_S
        if soak:
            command, timeout_s = SOAK_COMMAND, SOAK_TIMEOUT_S
        is_missed = survives(mutation, command, timeout_s)
        survivors += is_missed
        verdict = "NOT SEEN" if is_missed else "seen"
        print(f"{verdict}: {mutation.rule} by {command[-1]}", flush=True)
    print(f"{survivors} of {len(chosen)} mutations not seen")
    if survivors:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
