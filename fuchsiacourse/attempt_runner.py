"""Runs the attempts of requests in the slots of targets."""

from __future__ import annotations

import collections.abc
import typing

from fuchsiacourse import answer_checks
from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import leaving_targets
from fuchsiacourse import logs
from fuchsiacourse import request_row
from fuchsiacourse import shard as shards
from fuchsiacourse import target_client as target_clients
from fuchsiacourse import target_row
from fuchsiacourse import timers as timer_service

Outcome = target_row.Outcome
EndedCallback = collections.abc.Callable[
    [
        request_row.RequestRow,
        request_row.AttemptRun,
        Outcome,
        target_clients.TargetAnswer | None,
    ],
    None,
]


class AttemptRunner:
    """Runs each attempt in a task that holds a slot of its target.

    A slot is freed only when its attempt has ended, also after a
    cancellation, so that a target never runs more attempts than it has
    slots.

    Args:
        shard: Tables of the shard.
        health: Health of the shard's targets (``health.Health``).
        clock: Source of time.
        timers: Runs the tasks.
        target_client: Client of the targets.
        leaving: Checks that leaving targets get no attempts.
        invariants: Receives the checks.
        log: Logger.
        on_ended: Called when an attempt has ended and its slot is free.
    """

    def __init__(
        self,
        *,
        shard: shards.Shard,
        health: typing.Any,
        clock: clocks.Clock,
        timers: timer_service.Timers,
        target_client: target_clients.TargetClient,
        leaving: leaving_targets.LeavingTargets,
        invariants: invariant_checks.Invariants,
        log: typing.Any,
        on_ended: EndedCallback,
    ) -> None:
        self._shard = shard
        self._health = health
        self._clock = clock
        self._timers = timers
        self._target_client = target_client
        self._leaving = leaving
        self._invariants = invariants
        self._log = log
        self._on_ended = on_ended
        self._started = 0
        # Number of slots that requests of long kinds hold.
        self.long_in_flight = 0

    def start(
        self,
        row: request_row.RequestRow,
        target: target_row.TargetRow,
        now: float,
        *,
        is_hedge: bool = False,
    ) -> request_row.AttemptRun:
        """Starts an attempt in a free slot of a target.

        Args:
            row: The request.
            target: Target with a free slot.
            now: Monotonic time in seconds.
            is_hedge: Whether the attempt is a hedge of a running one.

        Returns:
            The attempt.
        """
        self._check_start(row, target, now)
        self._started += 1
        attempt = target_row.Attempt(
            request_id=row.id,
            kind=row.kind,
            fingerprint=row.request.fingerprint,
            target_id=target.id,
            started_s=now,
            is_canary=self._health.is_canary(target),
            is_hedge=is_hedge,
        )
        run = request_row.AttemptRun(
            id=f"{row.id}#{self._started}", attempt=attempt, target=target
        )
        row.state = request_row.RequestState.RUNNING
        row.attempts_made += 1
        row.unproven_attempts += 1
        row.tried_target_ids.add(target.id)
        row.runs_by_id[run.id] = run
        target.attempts_by_id[run.id] = attempt
        self.long_in_flight += not row.kind.is_short
        self._health.record_start(target, attempt, now)
        run.handle = self._timers.spawn(self._run(row, run))
        return run

    def _check_start(
        self,
        row: request_row.RequestRow,
        target: target_row.TargetRow,
        now: float,
    ) -> None:
        self._leaving.check_send(target, now)
        self._invariants.check(
            invariant_checks.InvariantId.AT_MOST_ONCE,
            row.kind.idempotent or row.unproven_attempts == 0,
            request_id=row.id,
            kind=row.kind.name,
        )

    async def _run(
        self, row: request_row.RequestRow, run: request_row.AttemptRun
    ) -> None:
        run.is_entered = True
        answer = None
        outcome = Outcome.CANCELLED
        try:
            if run.cancelled_as is None:
                answer = await self._target_client.send(self._call(row, run))
                outcome = self._classify(row, run, answer)
        except errors.TargetUnreachable:
            outcome = Outcome.UNREACHABLE
        except errors.TargetBadAnswer as error:
            outcome = Outcome.BAD_ANSWER
            self._log_rejected(run, str(error))
        except errors.TargetError:
            outcome = Outcome.CONNECTION_LOST
        except Exception as error:
            # Nothing proves that the request was not sent.
            outcome = Outcome.CONNECTION_LOST
            logs.warning(self._log, "attempt_failed", error=repr(error))
        finally:
            # A cancelled attempt ends here too, after the client has closed
            # its connection, so that the slot is not freed too early.
            self._release(row, run, outcome, answer)

    def _call(
        self, row: request_row.RequestRow, run: request_row.AttemptRun
    ) -> target_clients.TargetCall:
        target = run.target.target
        return target_clients.TargetCall(
            target_id=target.id,
            address=target.address,
            request_id=row.id,
            method=row.request.method,
            path=row.request.path,
            headers=[(item.name, item.value) for item in row.request.headers],
            body=row.request.body,
            deadline_s=max(0.001, row.deadline_s - self._clock.now()),
            connection_limit=target.connection_limit,
        )

    def _classify(
        self,
        row: request_row.RequestRow,
        run: request_row.AttemptRun,
        answer: target_clients.TargetAnswer,
    ) -> Outcome:
        outcome, reason = answer_checks.classify(
            answer,
            request_id=row.id,
            kind=row.kind,
            shed_statuses=self._shard.service.shed_statuses,
        )
        if reason:
            self._log_rejected(run, reason)
        return outcome

    def _log_rejected(self, run: request_row.AttemptRun, reason: str) -> None:
        logs.warning(
            self._log,
            "answer_rejected",
            service=self._shard.service.service,
            target=run.target.id,
            reason=reason,
        )

    def _release(
        self,
        row: request_row.RequestRow,
        run: request_row.AttemptRun,
        outcome: Outcome,
        answer: target_clients.TargetAnswer | None,
    ) -> None:
        if outcome is Outcome.CANCELLED and run.cancelled_as is not None:
            outcome = run.cancelled_as
        if outcome in (Outcome.SHED, Outcome.UNREACHABLE):
            row.unproven_attempts -= 1
        del run.target.attempts_by_id[run.id]
        del row.runs_by_id[run.id]
        self.long_in_flight -= not row.kind.is_short
        try:
            self._update_health(run, outcome, answer)
        finally:
            # A fault of failure detection must not change the reply to the
            # request.
            self._on_ended(row, run, outcome, answer)

    def _update_health(
        self,
        run: request_row.AttemptRun,
        outcome: Outcome,
        answer: target_clients.TargetAnswer | None,
    ) -> None:
        now = self._clock.now()
        is_draining = False
        incarnation = ""
        # An answer to another request may come from another target, so its
        # headers say nothing about this one.
        if answer is not None and outcome is not Outcome.BAD_ANSWER:
            is_draining = answer.header("Target-State") == "draining"
            incarnation = answer.header("Target-Incarnation")
        self._health.record_finish(
            run.target,
            run.attempt,
            outcome,
            now,
            draining=is_draining,
            incarnation=incarnation,
        )
        self._leaving.record(run.target, now, is_leaving=is_draining)
