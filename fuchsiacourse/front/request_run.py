"""Runs one request: its attempts, retries, hedge and final answer."""

from __future__ import annotations

import asyncio
import typing

from fuchsiacourse.front import body_stream
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import evidence as evidences
from fuchsiacourse.front import final_answers
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import outcome as outcomes
from fuchsiacourse.front import request_events
from fuchsiacourse.front import retry_policy
from fuchsiacourse.front import route as routes
from fuchsiacourse.front import running_attempt
from fuchsiacourse.front import target as targets
from fuchsiacourse.front import target_sender
from fuchsiacourse.front import wire_protocol

if typing.TYPE_CHECKING:
    from fuchsiacourse.front import forwarder

# Multiple of the service's usual time after which an attempt is late; few
# answers of healthy targets take longer.
LATE_FACTOR = 1.6
# Lower bound of the time after which an attempt is late, in seconds.
MIN_LATE_S = 0.05
# Back-off before a request goes again to targets that have declined it, in
# seconds; a full queue needs part of the usual time to get shorter.
DECLINED_BACKOFF_S = 0.03


class RequestRun:
    """Runs one request of a caller until its final answer.

    Sends the attempts, decides on retries and a hedge, and records the
    outcome of each attempt as evidence of the target's health.

    Args:
        front: Forwarder whose parts the run uses.
        request: The request.
        fields: Request id and deadline that the caller has set.
        route: Route of the request.
        service: Service that serves it.
        fingerprint: Hash of the request's content.
        presence: Signals that the caller has disconnected.
    """

    def __init__(
        self,
        *,
        front: forwarder.Forwarder,
        request: http_request.HttpRequest,
        fields: wire_protocol.RequestFields,
        route: routes.Route,
        service: str,
        fingerprint: int,
        presence: caller_presence.CallerPresence,
    ) -> None:
        self._front = front
        self._request = request
        self._request_id = fields.request_id
        self._route = route
        self._service = service
        self._fingerprint = fingerprint
        self._events = request_events.RequestEvents(
            log=front.log,
            metrics=front.metrics,
            request_id=fields.request_id,
            route=route,
            service=service,
        )
        self._answers = final_answers.FinalAnswers(
            front=front,
            request=request,
            fields=fields,
            service=service,
            events=self._events,
        )
        self._presence = presence
        wait_s = route.timeout_s
        if fields.timeout_s is not None:
            wait_s = min(wait_s, fields.timeout_s)
        self._deadline_s = request.received_s + wait_s
        self._running: dict[asyncio.Task, running_attempt.RunningAttempt] = {}
        self._attempts = 0
        # Targets that may have received the request; a running attempt counts
        # once it is late.
        self._reached: list[targets.Target] = []
        # Targets of all attempts, in order.
        self._tried: list[targets.Target] = []
        self._declined: list[targets.Target] = []
        # Monotonic time of the next retry at the targets that have declined
        # the request, in seconds; None if there is none.
        self._retry_declined_at_s: float | None = None
        # Whether any target may have run the request.
        self._may_have_run = False
        self._last_failure: target_sender.AttemptResult | None = None
        # Done when the final answer must be given whatever is in progress.
        self._ended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        # Streamed answer bodies that are still arriving.
        self._open_bodies: list[body_stream.BodyStream] = []

    async def answer(self) -> http_answer.HttpAnswer:
        """Runs the request and returns its final answer.

        Attempts that are still running at the end are cancelled.
        """
        final: http_answer.HttpAnswer | None = None
        try:
            final = await self._run()
            return final
        finally:
            for item in list(self._running.values()):
                self._cancel(item)
            for rest in self._open_bodies:
                if final is None or rest is not final.rest:
                    rest.close()

    @property
    def service(self) -> str:
        """Service that serves the request."""
        return self._service

    @property
    def is_receiving(self) -> bool:
        """Whether the rest of the request's body is still being received."""
        rest = self._request.rest
        return rest is not None and not rest.is_ended

    def end(self) -> None:
        """Ends the run: its final answer follows without further attempts."""
        if not self._ended.done():
            self._ended.set_result(None)

    async def _run(self) -> http_answer.HttpAnswer:
        if not self._send(evidences.AttemptKind.FIRST):
            return self._answers.no_target(
                self._front.table.of_service(self._service)
            )
        while self._running or self._retry_declined_at_s is not None:
            now_s = self._front.clock.now()
            if now_s >= self._deadline_s:
                return self._answers.timed_out(self._attempts)
            await self._wait(now_s)
            if self._presence.is_disconnected and (
                self._ends_with_caller or not self._running
            ):
                return self._answers.caller_disconnected(self._attempts)
            final = self._process_finished()
            if final is not None:
                return final
            if self._ended.done():
                return self._answers.shut_down(
                    may_have_run=self._may_have_run or bool(self._running),
                    attempts=self._attempts,
                )
            self._handle_late()
            self._retry_declined()
        found = self._front.table.of_service(self._service)
        if not self._may_have_run and self._front.limiter.wait_s(found):
            return self._answers.no_target(found, self._attempts)
        return self._answers.all_attempts_failed(
            self._last_failure,
            may_have_run=self._may_have_run,
            attempts=self._attempts,
        )

    @property
    def _ends_with_caller(self) -> bool:
        """Whether the run ends when the caller disconnects.

        A request that isn't idempotent is finished, because the target may
        be in the middle of its work.
        """
        return self._route.is_idempotent

    async def _wait(self, now_s: float) -> None:
        due_s = self._deadline_s
        if self._retry_declined_at_s is not None:
            due_s = min(due_s, self._retry_declined_at_s)
        for item in self._running.values():
            if not item.is_late:
                due_s = min(due_s, item.started_s + self._late_s)
        awaited: list[asyncio.Future] = [*self._running, self._ended]
        if self._ends_with_caller or not self._running:
            awaited.append(self._presence.disconnected)
        await asyncio.wait(
            awaited,
            timeout=max(0.0, due_s - now_s),
            return_when=asyncio.FIRST_COMPLETED,
        )

    @property
    def _late_s(self) -> float:
        usual_s = self._front.times.usual_s(self._service)
        return max(MIN_LATE_S, LATE_FACTOR * usual_s)

    def _process_finished(self) -> http_answer.HttpAnswer | None:
        for task, item in list(self._running.items()):
            if not task.done():
                continue
            del self._running[task]
            result = task.result()
            self._record_end(item, result)
            final = self._handle_result(item, result)
            if final is not None:
                return final
        return None

    def _handle_result(
        self,
        item: running_attempt.RunningAttempt,
        result: target_sender.AttemptResult,
    ) -> http_answer.HttpAnswer | None:
        if result.answer is not None and result.answer.rest is not None:
            self._open_bodies.append(result.answer.rest)
        if not result.outcome.is_not_run:
            self._may_have_run = True
        step = retry_policy.next_step(result.outcome, self._retry_state())
        if self._request.is_consumed and step is not retry_policy.Step.DELIVER:
            step = retry_policy.Step.GIVE_UP
        if step is retry_policy.Step.DELIVER:
            assert result.answer is not None
            return self._answers.from_target(
                result.answer, item.target, self._attempts
            )
        # The most informative result is kept: one that has not run and has no
        # answer doesn't replace another.
        if (
            self._last_failure is None
            or result.answer is not None
            or not result.outcome.is_not_run
        ):
            self._last_failure = result
        if step is retry_policy.Step.GIVE_UP or self._presence.is_disconnected:
            return None
        if step is retry_policy.Step.REPLACE:
            if not self._running:
                self._send(
                    evidences.AttemptKind.REPLACEMENT,
                    reason=result.outcome.name,
                )
            return None
        if step is retry_policy.Step.RETRY_SAME:
            if not self._running:
                now_s = self._front.clock.now()
                self._retry_declined_at_s = now_s + DECLINED_BACKOFF_S
            return None
        self._send(evidences.AttemptKind.REPEAT, reason=result.outcome.name)
        return None

    def _retry_declined(self) -> None:
        now_s = self._front.clock.now()
        if (
            self._retry_declined_at_s is None
            or now_s < self._retry_declined_at_s
        ):
            return
        self._retry_declined_at_s = None
        if self._front.budget.remaining(self._service) >= 1.0:
            self._send(
                evidences.AttemptKind.REPEAT,
                reason=outcomes.Outcome.DECLINED.name,
                to_declined=True,
            )

    def _retry_state(self) -> retry_policy.RetryState:
        return retry_policy.RetryState(
            is_idempotent=self._route.is_idempotent,
            attempts=self._attempts,
            targets=self._targets_in_use(),
            max_targets=self._route.max_targets,
            left_s=min(self._deadline_s, self._front.stop.answers_until_s)
            - self._front.clock.now(),
            usual_s=self._front.times.usual_s(self._service),
            budget=self._front.budget.remaining(self._service),
        )

    @property
    def _is_retryable(self) -> bool:
        """Whether a retry may follow the next attempt."""
        return (
            self._route.is_idempotent
            and self._request.rest is None
            and self._targets_in_use() + 1 < self._route.max_targets
            and self._front.budget.remaining(self._service) >= 1.0
        )

    def _targets_in_use(self) -> int:
        """Returns how many targets may have received the request."""
        used = {target.key for target in self._reached}
        used.update(item.target.key for item in self._running.values())
        return len(used)

    def _send(
        self,
        kind: evidences.AttemptKind,
        *,
        reason: str = "",
        to_declined: bool = False,
    ) -> bool:
        front = self._front
        if front.reach.is_cut_off:
            return False
        candidates = front.table.of_service(self._service)
        if to_declined:
            # Targets that have been removed since they declined are left out.
            declined = {target.key for target in self._declined}
            candidates = [t for t in candidates if t.key in declined]
        target = front.placement.choose(
            candidates,
            objective_s=self._route.objective_s,
            is_retryable=self._is_retryable,
            avoid=self._tried[-1:] if to_declined else self._tried,
        )
        if target is None:
            return False
        now_s = front.clock.now()
        left_s = self._deadline_s - now_s
        version = 0 if front.config is None else front.config.version
        self._events.log_sent(
            target,
            now_s=now_s,
            left_s=left_s,
            config_version=version,
            retry_of=reason,
        )
        task = asyncio.get_running_loop().create_task(
            front.sender.send(
                target,
                self._request,
                request_id=self._request_id,
                deadline_s=self._deadline_s,
                is_idempotent=self._route.is_idempotent,
            )
        )
        self._running[task] = running_attempt.RunningAttempt(
            target=target, task=task, started_s=now_s, kind=kind
        )
        self._attempts += 1
        self._tried.append(target)
        front.collector.record_start(target, kind)
        return True

    def _record_end(
        self,
        item: running_attempt.RunningAttempt,
        result: target_sender.AttemptResult,
    ) -> None:
        if (
            result.outcome.may_have_arrived
            and item.target not in self._reached
        ):
            self._reached.append(item.target)
        if result.outcome is outcomes.Outcome.DECLINED:
            self._declined.append(item.target)
        self._record_wishes(item.target, result)
        self._front.collector.record_resends(item.target, result.resends)
        load = result.fields.load if result.fields is not None else None
        now_s = self._front.clock.now()
        took_s = now_s - item.started_s
        connected_s = result.connected_s
        reported_load = None if load is None else load.running + load.waiting

        def record(outcome: outcomes.Outcome) -> None:
            self._front.collector.record_end(
                item.target,
                outcome,
                kind=item.kind,
                took_s=took_s,
                reported_load=reported_load,
                rate_limit=result.rate_limit,
                fingerprint=self._fingerprint,
            )

        self._front.reach.resolve(
            item.target, result.outcome, record, connected_s=connected_s
        )
        self._events.log_ended(
            item.target,
            result,
            took_s=took_s,
            connected_for_s=(
                None if connected_s is None else now_s - connected_s
            ),
        )

    def _record_wishes(
        self, target: targets.Target, result: target_sender.AttemptResult
    ) -> None:
        """Records that a target leaves or wants nothing for some time.

        They are wishes, not failures, so they don't count as evidence of the
        target's health.
        """
        fields = result.fields
        if fields is None or fields.is_misdirected:
            return
        if fields.is_leaving:
            self._front.table.mark_leaving(target)
        if fields.retry_after_s is not None:
            self._front.limiter.hold(target, fields.retry_after_s)
            self._events.log_held(target, fields.retry_after_s)

    def _handle_late(self) -> None:
        now_s = self._front.clock.now()
        for item in list(self._running.values()):
            # This must be the same sum as in _wait. With a difference, the
            # attempt might not be late at the end of the wait because of a
            # rounding error, and the run would wait without end.
            if item.is_late or now_s < item.started_s + self._late_s:
                continue
            item.is_late = True
            if item.target not in self._reached:
                self._reached.append(item.target)
            self._resolve_late(item)
            if (
                len(self._running) == 1
                and self._request.rest is None
                and retry_policy.may_hedge(self._retry_state())
            ):
                self._send(
                    evidences.AttemptKind.REPEAT,
                    reason=outcomes.Outcome.LATE.name,
                )

    def _resolve_late(self, item: running_attempt.RunningAttempt) -> None:
        def record(outcome: outcomes.Outcome) -> None:
            if outcome is outcomes.Outcome.LATE:
                self._front.collector.record_late(item.target, item.kind)

        self._front.reach.resolve(item.target, outcomes.Outcome.LATE, record)

    def _cancel(self, item: running_attempt.RunningAttempt) -> None:
        del self._running[item.task]
        if not item.task.cancel():
            # The attempt has just ended; a streamed answer must be closed.
            self._collect_open_body(item.task)
        self._front.collector.record_end(
            item.target,
            outcomes.Outcome.CANCELLED,
            kind=item.kind,
            took_s=self._front.clock.now() - item.started_s,
            reported_load=None,
            rate_limit=None,
            fingerprint=self._fingerprint,
        )

    def _collect_open_body(
        self, task: asyncio.Task[target_sender.AttemptResult]
    ) -> None:
        if task.cancelled():
            return
        answer = task.result().answer
        if answer is not None and answer.rest is not None:
            self._open_bodies.append(answer.rest)
