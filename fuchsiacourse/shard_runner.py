"""Queues the requests of one shard and runs them at its targets."""

from __future__ import annotations

import collections.abc
import typing

from fuchsiacourse import admission
from fuchsiacourse import answer_checks
from fuchsiacourse import attempt_runner
from fuchsiacourse import clock as clocks
from fuchsiacourse import execute_replies
from fuchsiacourse import freshness_gate as freshness_gates
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import leaving_targets
from fuchsiacourse import request_events
from fuchsiacourse import request_queue
from fuchsiacourse import request_row
from fuchsiacourse import request_table
from fuchsiacourse import run_times
from fuchsiacourse import service_file
from fuchsiacourse import settings as settings_files
from fuchsiacourse import shard as shards
from fuchsiacourse import shard_targets
from fuchsiacourse import share_budget
from fuchsiacourse import stragglers
from fuchsiacourse import target_backoff
from fuchsiacourse import target_choice
from fuchsiacourse import target_client as target_clients
from fuchsiacourse import target_row
from fuchsiacourse import timers as timer_service

# Most attempts of one request.
_MAX_ATTEMPTS = 6
# Number of queued requests of a kind for which a target is sought at a time.
# The first may have none, for example because it has already failed at the
# only free target.
_BIND_DEPTH = 8

Outcome = target_row.Outcome
Refusal = execute_replies.Refusal
RequestRow = request_row.RequestRow
BeforeAttempts = collections.abc.Callable[[float], None]
EndedCallback = collections.abc.Callable[
    ["ShardRunner", target_row.TargetRow, target_row.Attempt, Outcome], None
]


class ShardRunner:
    """Admits the requests of a shard, binds them to slots and runs them.

    Args:
        shard: Tables of the shard.
        health: Health of the shard's targets (``health.Health``).
        settings: Settings of dispatch.
        clock: Source of time.
        timers: Runs the tasks of the attempts.
        target_client: Client of the targets.
        owner_address: Address of this process, returned in replies.
        invariants: Receives the checks.
        log: Logger.
        before_attempts: Called with the monotonic time in seconds before
            queued requests are bound; it may refuse some of them.
        on_ended: Called with each attempt that has ended.
    """

    def __init__(
        self,
        *,
        shard: shards.Shard,
        health: typing.Any,
        settings: settings_files.DispatchSettings,
        clock: clocks.Clock,
        timers: timer_service.Timers,
        target_client: target_clients.TargetClient,
        owner_address: str,
        invariants: invariant_checks.Invariants,
        log: typing.Any,
        before_attempts: BeforeAttempts,
        on_ended: EndedCallback,
    ) -> None:
        self.shard = shard
        self.health = health
        self.queue = request_queue.RequestQueue()
        self.times = run_times.RunTimes()
        self.admission = admission.Admission(
            queue=self.queue, times=self.times
        )
        self.targets = shard_targets.ShardTargets(shard=shard)
        self.freshness_gate = freshness_gates.FreshnessGate()
        self.leaving = leaving_targets.LeavingTargets(invariants=invariants)
        self._attempts = attempt_runner.AttemptRunner(
            shard=shard,
            health=health,
            clock=clock,
            timers=timers,
            target_client=target_client,
            leaving=self.leaving,
            invariants=invariants,
            log=log,
            on_ended=self._ended,
        )
        self.is_draining = False
        self._settings = settings
        self._clock = clock
        self._owner_address = owner_address
        self._invariants = invariants
        self._log = log
        self._before_attempts = before_attempts
        self._on_ended = on_ended
        self.requests = request_table.RequestTable(queue=self.queue)
        self._stragglers = stragglers.Stragglers(times=self.times)
        self._retries = share_budget.ShareBudget(share=settings.retry_share)
        self._hedges = share_budget.ShareBudget(share=settings.hedge_share)
        self._backoff = target_backoff.TargetBackoff()
        self._choice = target_choice.TargetChoice(
            targets=self.targets,
            health=health,
            backoff=self._backoff,
            freshness_gate=self.freshness_gate,
            attempts=self._attempts,
            short_slot_share=settings.short_slot_share,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is queued and no slot is in use."""
        return not self.requests and not self.targets.in_flight

    @property
    def queue_s(self) -> float:
        """Time in seconds for which the queue keeps the slots busy."""
        return self.admission.queue_s(self.targets.usable_slots)

    def submit(self, row: RequestRow, now: float) -> None:
        """Queues a request or refuses it.

        Args:
            row: The request.
            now: Monotonic time in seconds.
        """
        self._retries.deposit()
        self._hedges.deposit()
        self.requests.add(row)
        if self._admit(row, now):
            self._refuse_unservable(now)
            self.bind(now)

    def _refuse_unservable(self, now: float) -> None:
        if not self.queue:
            return
        slots = self.targets.usable_slots
        for row in self.admission.unservable(now, slots):
            self.refuse(row, Refusal.OVERLOAD)

    def _admit(self, row: RequestRow, now: float) -> bool:
        """Returns whether a request is admitted; refuses it otherwise."""
        slots = self.targets.usable_slots
        if not slots:
            self.refuse(row, Refusal.NO_TARGET)
            return False
        if len(self.queue) > self._settings.queue_max_requests:
            least = self.admission.least_valuable()
            self.refuse(least or row, Refusal.OVERLOAD)
            if row.state is request_row.RequestState.DONE:
                return False
        if self.targets.has_free_slot and len(self.queue) == 1:
            return True
        if self.admission.meets_deadline(row, now, slots):
            return True
        self.refuse(row, Refusal.OVERLOAD)
        return False

    def refuse(
        self, row: RequestRow, refusal: Refusal, *, owner: str = ""
    ) -> None:
        """Ends a request with a refusal.

        If a target has answered with an error status, that answer is
        returned instead.

        Args:
            row: The request.
            refusal: Reason of the refusal.
            owner: Address of the shard's owner, by default this process.
        """
        self.requests.remove(row)
        if row.error_answer is not None:
            self._reply_answer(row, row.error_answer, row.error_target_id)
            return
        verdict = row.verdict
        self._invariants.check(
            invariant_checks.InvariantId.NOT_RUN,
            not verdict.is_certain or row.unproven_attempts == 0,
            request_id=row.id,
        )
        row.finish(
            execute_replies.refused(
                row.id,
                refusal,
                verdict=verdict,
                retry_after_s=self.admission.retry_after_s(
                    self.targets.usable_slots
                ),
                owner=owner or self._owner_address,
                queue_s=self.queue_s,
            )
        )

    def bind(self, now: float) -> None:
        """Starts attempts of queued requests in free slots."""
        self._before_attempts(now)
        if not self.queue:
            return
        slots = self.targets.usable_slots
        is_overloaded = self.admission.is_overloaded(slots)
        for kind_queue in self.admission.ordered(slots):
            if not self.targets.has_free_slot:
                return
            self._bind_kind(kind_queue, now, is_overloaded)

    def _bind_kind(
        self,
        kind_queue: request_queue.KindQueue,
        now: float,
        is_overloaded: bool,
    ) -> None:
        is_progressing = True
        while is_progressing and kind_queue:
            is_progressing = False
            for row in kind_queue.first(_BIND_DEPTH):
                if row.deadline_s <= now:
                    self.refuse(row, Refusal.DEADLINE)
                    is_progressing = True
                    continue
                target = self._choice.choose(
                    row, now, is_backlogged=is_overloaded
                )
                if target is not None:
                    self.queue.remove(row)
                    self._start(row, target, now)
                    is_progressing = True
                elif not row.tried_target_ids:
                    # No target takes a request without earlier attempts,
                    # so none takes the other requests of the kind.
                    return

    def _start(
        self, row: RequestRow, target: target_row.TargetRow, now: float
    ) -> None:
        run = self._attempts.start(row, target, now)
        if row.kind.idempotent:
            self._stragglers.watch(row, run)

    def _ended(
        self,
        row: RequestRow,
        run: request_row.AttemptRun,
        outcome: Outcome,
        answer: target_clients.TargetAnswer | None,
    ) -> None:
        now = self._clock.now()
        # This comes first, so that no fault below can change the reply.
        if row.state is request_row.RequestState.RUNNING:
            self._settle(row, run, outcome, answer, now)
        self.times.ended(row.kind, outcome, now - run.attempt.started_s)
        self._backoff.record_outcome(run.target, outcome, now)
        if outcome is Outcome.OK:
            self.freshness_gate.record_contact(
                run.target.id, run.attempt.started_s
            )
        self.targets.released(run.target)
        self._on_ended(self, run.target, run.attempt, outcome)
        self.bind(now)

    def _settle(
        self,
        row: RequestRow,
        run: request_row.AttemptRun,
        outcome: Outcome,
        answer: target_clients.TargetAnswer | None,
        now: float,
    ) -> None:
        """Answers, retries or refuses a request after one of its attempts."""
        if outcome is Outcome.OK:
            self._complete(row, answer, run.target.id)
            return
        if outcome is Outcome.ERROR_STATUS:
            row.error_answer = answer
            row.error_target_id = run.target.id
        elif outcome not in (Outcome.SHED, Outcome.UNREACHABLE):
            row.is_uncertain = True
        if row.has_running():
            return
        if self._may_retry(row, outcome, now):
            row.state = request_row.RequestState.QUEUED
            self.queue.push(row)
            service_name = self.shard.service.service
            request_events.retried(
                self._log, service_name, row, run.target, outcome
            )
            return
        self.refuse(row, _refusal_after(outcome, row))

    def _may_retry(
        self, row: RequestRow, outcome: Outcome, now: float
    ) -> bool:
        if self.is_draining or now >= row.deadline_s:
            return False
        if row.attempts_made >= _MAX_ATTEMPTS or not self.targets.usable:
            return False
        if not row.kind.idempotent and row.may_have_run:
            return False
        if outcome in (Outcome.SHED, Outcome.UNREACHABLE):
            return True
        # The retry of a cancelled attempt was charged to the retry budget
        # when the attempt was cancelled.
        return outcome is Outcome.CANCELLED or self._retries.withdraw()

    def _complete(
        self,
        row: RequestRow,
        answer: target_clients.TargetAnswer,
        target_id: str,
    ) -> None:
        self.requests.remove(row)
        for other in list(row.runs_by_id.values()):
            other.cancel(Outcome.CANCELLED)
        self._reply_answer(row, answer, target_id)

    def _reply_answer(
        self,
        row: RequestRow,
        answer: target_clients.TargetAnswer,
        target_id: str,
    ) -> None:
        self._invariants.check(
            invariant_checks.InvariantId.WHOLE_ANSWER,
            answer_checks.is_whole(answer, request_id=row.id, kind=row.kind),
            request_id=row.id,
            answer_to=answer.request_id,
        )
        row.finish(
            execute_replies.answered(
                row.id,
                answer,
                target_id=target_id,
                owner=self._owner_address,
                queue_s=self.queue_s,
            )
        )

    def tick(self, now: float) -> None:
        """Expires requests, hedges stragglers and starts queued requests."""
        self.expire(now)
        self._refuse_unservable(now)
        self._handle_stragglers(now)
        self.bind(now)

    def expire(self, now: float) -> None:
        """Ends the requests whose deadline has passed."""
        while (row := self.requests.due(now)) is not None:
            self.abandon(row, Refusal.DEADLINE, Outcome.TIMEOUT)

    def abandon(
        self, row: RequestRow, refusal: Refusal, outcome: Outcome
    ) -> None:
        """Ends a request that no caller waits for any more.

        Each of its attempts frees its slot once it has been cancelled.

        Args:
            row: The request.
            refusal: Reason in the reply.
            outcome: Outcome of the cancelled attempts.
        """
        self.refuse(row, refusal)
        for run in list(row.runs_by_id.values()):
            run.cancel(outcome)

    def _handle_stragglers(self, now: float) -> None:
        """Hedges stragglers; under overload cancels and retries them."""
        for watched in self._stragglers.due(now):
            if self.is_draining:
                continue
            if not self._hedge(
                watched.row, now
            ) and not self._cancel_straggler(watched, now):
                self._stragglers.reschedule(watched, now)

    def _hedge(self, row: RequestRow, now: float) -> bool:
        if not row.kind.is_short or row.attempts_made >= _MAX_ATTEMPTS:
            return False
        target = self._choice.choose(row, now, is_hedge=True)
        if target is None or not self._hedges.withdraw():
            return False
        self._attempts.start(row, target, now, is_hedge=True)
        service_name = self.shard.service.service
        request_events.hedged(self._log, service_name, row, target, now)
        return True

    def _cancel_straggler(
        self, watched: stragglers.WatchedAttempt, now: float
    ) -> bool:
        """Cancels a straggler under overload, so that its slot is freed.

        The request returns to the queue. The retry is charged to the retry
        budget.

        Returns:
            Whether the attempt was cancelled.
        """
        if not self.admission.is_overloaded(self.targets.usable_slots):
            return False
        if not self._stragglers.is_replaceable(watched, now):
            return False
        if watched.row.attempts_made >= _MAX_ATTEMPTS:
            return False
        if not self._retries.withdraw():
            return False
        watched.run.cancel(Outcome.CANCELLED)
        return True

    def replace(self, service: service_file.ServiceFile) -> None:
        """Applies a new service file; running attempts go on."""
        self.targets.replace(service)
        current = self.shard.targets_by_id
        self._backoff.keep_only(set(current))
        self.leaving.keep_only(current)
        self.queue.replace_kinds(service.kinds_by_name)


def _refusal_after(outcome: Outcome, row: RequestRow) -> Refusal:
    if row.may_have_run:
        return Refusal.TARGET_FAILED
    if outcome is Outcome.SHED:
        return Refusal.OVERLOAD
    return Refusal.NO_TARGET
