"""Checks the guarantees of fronts from what callers and targets observe."""

from __future__ import annotations

import collections
import hashlib

from bench import fault_limits
from bench import fault_wishes
from fuchsiacourse import clock as clocks

# Time after a fault in which a front need not keep its time bounds, in
# seconds.
STABILITY_S = 3.0
# Times after which a draining target must get no more requests, and a stored
# configuration must be in force, in seconds.
DRAIN_S = 2.0
CONFIG_S = 2.0
# Allowance for reading and scheduling on a busy machine, in seconds.
SLACK_S = 0.5
# Time allowed for a graceful shutdown, time after it in which it still counts,
# and time after its last byte in which a request may cross the front's close,
# in seconds.
GRACE_S = 6.0
AFTER_STOP_S = 1.0
LOSS_SLACK_S = 0.2
# A request that was whole this long after SIGTERM, in seconds, may be ended
# when its target is still at work in the last part of the grace time.
EXCUSED_SENT_S = 3.0
EXCUSED_END_S = GRACE_S * 5.0 / 6.0
# Statuses that state that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Statuses that reject or redirect a request: any other 3xx or 4xx.
REJECTION_STATUSES = frozenset(range(300, 500)) - NOT_RUN_STATUSES
# Statuses that no front may ever give to a request that all configurations
# allow.
FORBIDDEN_STATUSES = frozenset((401, 403, 404))
# Bound on the memory of a front process, in bytes: half of the memory of a
# host at the users' sites.
MEMORY_BYTES = 150_000_000
# Most violations that are kept.
MAX_VIOLATIONS = 200
# Longest part of a path in a message, in characters.
MAX_PATH_CHARS = 60
# Component of a fault that affects everything on this machine.
MACHINE = "machine"


def digest_of(body: bytes) -> bytes:
    """Returns the SHA-256 digest of a body."""
    return hashlib.sha256(body).digest()


class SentRequest:
    """A request that a caller has sent.

    Args:
        front: IP address of the front that received it.
        path: Path of the request.
        body: Body of the request; only a digest of it is kept.
        is_safe: Whether the request may run more than once.
        at_s: Monotonic time of sending, in seconds.
        form: Form in which the request was written.
        time_s: Time after which the request may fail, in seconds.
    """

    __slots__ = (
        "front",
        "path",
        "digest",
        "is_safe",
        "at_s",
        "form",
        "status",
        "time_s",
        "whole_s",
    )

    def __init__(
        self,
        *,
        front: str,
        path: str,
        body: bytes,
        is_safe: bool,
        at_s: float,
        form: str = "plain",
        time_s: float = float("inf"),
    ) -> None:
        self.form = form
        self.front = front
        self.path = path
        self.digest = digest_of(body)
        self.is_safe = is_safe
        self.at_s = at_s
        self.status: int | None = None
        self.time_s = time_s
        # Monotonic time at which the last byte was sent, in seconds.
        self.whole_s: float | None = None


class FaultChecker:
    """Records requests, runs, answers and faults, and finds violations.

    Each violation is a text that begins with the violated rule.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self.sent_by_id: dict[str, SentRequest] = {}
        self.runs_by_id: collections.Counter[str] = collections.Counter()
        self.services_by_path: dict[str, set[str]] = {}
        # Routes that all configurations of the run contain.
        self.permanent_routes: set[str] = set()
        # Monotonic time at which a route left a service, in seconds.
        self.moved_at_s_by_service: dict[tuple[str, str], float] = {}
        # Number of events that were checked, by kind.
        self.checked: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        # Peak memory of the processes of each front, in bytes.
        self.peak_bytes_by_front: dict[str, int] = {}
        # Ids of requests whose answer the target aborted.
        self._aborted_ids: set[str] = set()
        # Monotonic time until which a fault or planned work lasts, in seconds,
        # by component.
        self._fault_until_s: dict[str, float] = {}
        self._planned_until_s: dict[str, float] = {}
        # Monotonic time at which planned work began, in seconds.
        self._planned_at_s: dict[str, float] = {}
        # Targets that are at work on a request, by its id.
        self._targets_by_id: dict[str, list[str]] = {}

    def record_fault(
        self, component: str, for_s: float = 0.0, *, is_planned: bool = False
    ) -> None:
        """Records a fault that lasts for some time from now on.

        Planned work suspends the time bounds of a front, but doesn't allow
        it to drop requests.

        Args:
            component: IP address of a front, id of a target, ``store`` or
                ``MACHINE``.
            for_s: Duration, in seconds.
            is_planned: Whether the fault is planned work.
        """
        until_s_by_component = (
            self._planned_until_s if is_planned else self._fault_until_s
        )
        if is_planned:
            self._planned_at_s[component] = self._clock.now()
        until_s = self._clock.now() + for_s
        until_s_by_component[component] = max(
            until_s_by_component.get(component, 0.0), until_s
        )

    def time_bounds_hold(self, front: str) -> bool:
        """Returns whether a front must keep its time bounds now."""
        return self._is_calm(front, "store", MACHINE)

    def _is_calm(self, *components: str) -> bool:
        """Returns whether components have had no fault for some time."""
        since_s = self._clock.now() - STABILITY_S - SLACK_S
        return all(
            until_s_by_component.get(component, 0.0) < since_s
            for component in components
            for until_s_by_component in (
                self._fault_until_s,
                self._planned_until_s,
            )
        )

    def record_request(self, id: str, sent: SentRequest) -> None:
        """Records a request; called before it is written."""
        self.sent_by_id[id] = sent

    def record_run(
        self,
        id: str,
        *,
        service: str,
        path: str,
        body: bytes,
        draining_s: float | None,
        target: str = "",
        arrived_s: float | None = None,
    ) -> None:
        """Records that a target has begun to run a request.

        Args:
            id: Request id.
            service: Service of the target.
            path: Path as the target has read it.
            body: Body as the target has read it.
            draining_s: Monotonic time at which the store accepted the
                target's draining state, in seconds, None if the target is
                not draining.
            target: Id of the target.
            arrived_s: Monotonic time at which the head of the request arrived
                in seconds, None for now; its body may take long.
        """
        sent = self.sent_by_id.get(id)
        if sent is None or (sent.path, sent.digest) != (
            path,
            digest_of(body),
        ):
            form = "" if sent is None else f" ({sent.form})"
            self._add_violation(f"UNASKED: {id} {path[:MAX_PATH_CHARS]}{form}")
            return
        self._targets_by_id.setdefault(id, []).append(target)
        self.runs_by_id[id] += 1
        self.checked["run"] += 1
        if not sent.is_safe and self.runs_by_id[id] > 1:
            self._add_violation(f"TWICE: {id} ran {self.runs_by_id[id]} times")
        if not sent.is_safe and sent.status in NOT_RUN_STATUSES:
            self._add_violation(f"REFUSED: {id} runs after {sent.status}")
        self._check_route(id, sent, service)
        if draining_s is None:
            return
        late_s = self._at_s(arrived_s) - draining_s
        if late_s > DRAIN_S + SLACK_S and self.time_bounds_hold(sent.front):
            self._add_violation(
                f"DRAIN: {id} runs {late_s:.2f} s after its target began to"
                f" drain, sent by {sent.front}"
            )
        self.checked["drain"] += 1

    def record_work_end(self, id: str, target: str) -> None:
        """Records that a target has ended its work on a request."""
        if target in self._targets_by_id.get(id, ()):
            self._targets_by_id[id].remove(target)

    def is_at_work(self, id: str) -> bool:
        """Returns whether a target is at work on a request."""
        return bool(self._targets_by_id.get(id))

    def record_limited_answer(
        self, id: str, limit: fault_limits.LimitCheck
    ) -> None:
        """Records that a target answers a request with its rate limit."""
        sent = self.sent_by_id.get(id)
        if sent is not None:
            limit.record_answer(sent.front, self._clock.now())

    def record_limited_arrival(
        self,
        id: str,
        target: str,
        limit: fault_limits.LimitCheck,
        arrived_s: float | None = None,
    ) -> None:
        """Records the arrival of a request at a target with a rate limit.

        Args:
            id: Request id.
            target: Id of the target.
            limit: Its limit.
            arrived_s: Monotonic time of the head in seconds, None for now.
        """
        sent = self.sent_by_id.get(id)
        if sent is None:
            return
        if not self._is_calm(sent.front, MACHINE):
            # It may have started anew.
            limit.forget(sent.front)
            return
        self.checked["limited"] += 1
        count = limit.record_arrival(sent.front, self._at_s(arrived_s))
        if count is not None:
            self._add_violation(
                f"LIMIT: {target} takes {limit.rate_per_s:g} a second and got"
                f" {count} in {fault_limits.WINDOW_S:g} s"
            )

    def record_wish_answer(
        self, id: str, wish: fault_wishes.WishCheck
    ) -> None:
        """Records that a target answers a request with its wish."""
        sent = self.sent_by_id.get(id)
        if sent is not None:
            wish.record_answer(sent.front, self._clock.now())

    def record_wish_arrival(
        self,
        id: str,
        target: str,
        wish: fault_wishes.WishCheck,
        arrived_s: float | None = None,
    ) -> None:
        """Records the arrival of a request at a target with a wish.

        Args:
            id: Request id.
            target: Id of the target.
            wish: Its wish.
            arrived_s: Monotonic time of the head in seconds, None for now.
        """
        sent = self.sent_by_id.get(id)
        if sent is None:
            return
        if not self._is_calm(sent.front, MACHINE):
            # It may have started anew, or have been late.
            wish.forget(sent.front)
            return
        self.checked["wishes"] += 1
        fault = wish.record_arrival(sent.front, self._at_s(arrived_s))
        if fault:
            self._add_violation(f"{fault}; {id} reached {target}")

    def record_late_body(self, id: str, body: bytes) -> None:
        """Records the body that a target has read after its answer."""
        sent = self.sent_by_id.get(id)
        self.checked["read on"] += 1
        if sent is None or sent.digest != digest_of(body):
            self._add_violation(f"UNASKED: {id} target read a different body")

    def record_aborted_answer(self, id: str) -> None:
        """Records that a target aborts its answer to a request."""
        self._aborted_ids.add(id)

    def record_memory(self, front: str, peak_bytes: int) -> None:
        """Records the peak memory of a front's process, in bytes."""
        before = self.peak_bytes_by_front.get(front, 0)
        self.peak_bytes_by_front[front] = max(before, peak_bytes)
        if before <= MEMORY_BYTES < peak_bytes:
            self._add_violation(
                f"MEMORY: {front} used {peak_bytes / 1e6:.0f} MB, more than"
                " half of a machine's memory"
            )

    def record_answer(
        self,
        id: str,
        status: int,
        *,
        is_whole: bool,
        is_signed: bool,
        is_allowed: bool = True,
    ) -> None:
        """Records the answer to a request.

        Args:
            id: Request id.
            status: Status of the answer.
            is_whole: Whether the answer has the complete body that belongs to
                the id.
            is_signed: Whether the answer bears a target's signature.
            is_allowed: Whether the request is allowed by all configurations
                that may have been in force meanwhile.
        """
        sent = self.sent_by_id[id]
        sent.status = status
        self.checked[f"answer {status}"] += 1
        if status == 200 and not (is_whole and is_signed):
            self._add_violation(
                f"MIXED: {id} got 200 with whole={is_whole}"
                f" signed={is_signed}"
            )
        if (
            status in NOT_RUN_STATUSES
            and not sent.is_safe
            and self.runs_by_id[id] > 0
        ):
            self._add_violation(f"REFUSED: {id} ran and got {status}")
        if status in REJECTION_STATUSES and is_allowed and not is_signed:
            self._check_rejection(id, sent, status)
        if not is_signed:
            self._check_own_answer(id, sent, status)

    def record_lost_connection(
        self,
        id: str,
        *,
        ended_s: float | None = None,
        has_answer_begun: bool = False,
    ) -> None:
        """Records that a connection has ended without a complete answer.

        Args:
            id: Request id.
            ended_s: Monotonic time of the end in seconds, None for now.
            has_answer_begun: Whether the head of the answer has arrived.
        """
        sent = self.sent_by_id[id]
        self.checked["cut off"] += 1
        ended_s = self._at_s(ended_s)
        if id in self._aborted_ids or not self._has_no_fault(sent):
            return
        if self.runs_by_id[id]:
            # No other answer can replace one that has begun.
            if has_answer_begun and self._may_end(id, sent, ended_s):
                self.checked["answer cut off at work"] += 1
                return
        elif not self._is_dropped(sent, ended_s):
            # The request may have crossed the close of the connection.
            return
        self._add_violation(
            f"LOST: {id} connection closed by {sent.front}"
            f" {self._phase(id, sent, ended_s)}"
        )

    def _at_s(self, at_s: float | None) -> float:
        return self._clock.now() if at_s is None else at_s

    def _has_no_fault(self, sent: SentRequest, *others: str) -> bool:
        """Returns whether a request had no unplanned fault around it."""
        since_s = sent.at_s - STABILITY_S
        return all(
            self._fault_until_s.get(component, 0.0) < since_s
            for component in (sent.front, *others)
        )

    def _stopped_at_s(self, front: str, at_s: float) -> float | None:
        """Returns when the stop began that a front is in, None without one."""
        until_s = self._planned_until_s.get(front, 0.0) + AFTER_STOP_S
        return self._planned_at_s[front] if at_s < until_s else None

    def _is_dropped(self, sent: SentRequest, ended_s: float) -> bool:
        """Returns whether a stop drops a request that has not run."""
        if self._stopped_at_s(sent.front, ended_s) is None:
            return False
        if sent.whole_s is None:
            self.checked["cut off while sending"] += 1
            return False
        # A late caller sees the close of the connection late.
        is_timely = self._fault_until_s.get(MACHINE, 0.0) < sent.whole_s
        return is_timely and ended_s > sent.whole_s + LOSS_SLACK_S

    def _may_end(self, id: str, sent: SentRequest, ended_s: float) -> bool:
        """Returns whether a stop may end a request at a target."""
        if ended_s >= sent.at_s + sent.time_s:
            return True
        stop_s = self._stopped_at_s(sent.front, ended_s)
        whole_s = sent.at_s if sent.whole_s is None else sent.whole_s
        return (
            stop_s is not None
            and self.is_at_work(id)
            and whole_s <= stop_s + EXCUSED_SENT_S
            and ended_s >= stop_s + EXCUSED_END_S
        )

    def _check_own_answer(
        self, id: str, sent: SentRequest, status: int
    ) -> None:
        now_s = self._clock.now()
        targets = self._targets_by_id.get(id)
        if not targets or self._stopped_at_s(sent.front, now_s) is None:
            return
        self.checked["own answer at work"] += 1
        if self._may_end(id, sent, now_s):
            return
        if self._has_no_fault(sent, *targets):
            self._add_violation(
                f"LOST: {id} {status} by {sent.front} itself"
                f" {self._phase(id, sent, now_s)}"
            )

    def _phase(self, id: str, sent: SentRequest, ended_s: float) -> str:
        """Returns the times of a request after SIGTERM, for a message."""
        stop_s = self._stopped_at_s(sent.front, ended_s)
        since_s = sent.at_s if stop_s is None else stop_s
        whole = "" if sent.whole_s is None else f"{sent.whole_s - since_s:.2f}"
        return (
            f"({sent.form}, runs={self.runs_by_id[id]},"
            f" at_work={len(self._targets_by_id.get(id, ()))},"
            f" {'calm' if stop_s is None else 'stop'},"
            f" sent {sent.at_s - since_s:.2f}..{whole},"
            f" end {ended_s - since_s:.2f})"
        )

    def record_timeout(self, id: str) -> None:
        """Records an answer that is incomplete after twice its timeout.

        Unlike a closed connection, a late answer may be due to a busy
        machine, so it counts only while the front must keep its time bounds.
        """
        sent = self.sent_by_id[id]
        self.checked["unanswered"] += 1
        if self.time_bounds_hold(sent.front):
            self._add_violation(f"LOST: {id} not answered by {sent.front}")

    def record_missing_route(
        self, front: str, path: str, known_s: float
    ) -> None:
        """Records a 404 for a route that the store holds.

        Args:
            front: IP address of the front that answered.
            path: Path of the request.
            known_s: Monotonic time at which the store accepted the route, in
                seconds.
        """
        age_s = self._clock.now() - known_s
        if age_s > CONFIG_S + SLACK_S and self.time_bounds_hold(front):
            path = path[:MAX_PATH_CHARS]
            self._add_violation(
                f"CONFIG: 404 for {path} by {front}, {age_s:.2f} s after the"
                " route was stored"
            )

    def record_unexpected_exit(self, front: str, code: int) -> None:
        """Records a front process that exited without a signal."""
        self._add_violation(f"fault: {front} exited without a signal: {code}")

    def record_no_recovery(self, share: float) -> None:
        """Records that callers are not served after the faults.

        Args:
            share: Share of the requests that were served.
        """
        self._add_violation(
            f"RECOVER: only {share:.2f} of the requests served"
        )

    def _check_rejection(
        self, id: str, sent: SentRequest, status: int
    ) -> None:
        is_permanent = sent.path.split("/")[1] in self.permanent_routes
        if status == 404 and not is_permanent:
            # A front may not know a new route yet; record_missing_route
            # checks the time bound.
            return
        if (
            is_permanent and status in FORBIDDEN_STATUSES
        ) or self.time_bounds_hold(sent.front):
            self._add_violation(
                f"DENIED: {id} {status} by {sent.front} ({sent.form})"
            )

    def _check_route(self, id: str, sent: SentRequest, service: str) -> None:
        if service not in self.services_by_path[sent.path.split("/")[1]]:
            self._add_violation(
                f"ROUTE: {id} {sent.path[:MAX_PATH_CHARS]} run by {service}"
            )
        moved_s = self.moved_at_s_by_service.get(
            (sent.path.split("/")[1], service)
        )
        if moved_s is None:
            return
        self.checked["moved route"] += 1
        if sent.at_s > moved_s + CONFIG_S + SLACK_S and self.time_bounds_hold(
            sent.front
        ):
            self._add_violation(
                f"CONFIG: {id} run by {service} after its route moved away"
            )

    def _add_violation(self, text: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(text)
