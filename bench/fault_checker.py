"""Checks the promises of fronts from what callers and targets see."""

from __future__ import annotations

import collections
import hashlib

from fuchsiacourse import clock as clocks

# Time after a fault in which a host's bounds do not hold, in seconds.
STABILITY_S = 3.0
# Time in which a target must be left and a configuration be in force.
DRAIN_S = 2.0
CONFIG_S = 2.0
# Reading and scheduling on a busy machine, in seconds.
SLACK_S = 0.5
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Statuses that call a proper request wrong: a 3xx or 4xx that is no promise.
REJECTING = frozenset(range(300, 500)) - NOT_RUN_STATUSES
# Of these, the ones that no front may give at any time for what all
# configurations allow.
NEVER = frozenset((401, 403, 404))
# Half of the memory of a machine of the sites.
MEMORY_BYTES = 150_000_000
MAX_BROKEN = 50
# Characters of a path in a message.
PATH_SHOWN = 60
# Place of a fault of the machine that everything runs on.
MACHINE = "machine"


def digest_of(body: bytes) -> bytes:
    """Returns a digest of a body."""
    return hashlib.sha256(body).digest()


class SentRequest:
    """A request that a caller has sent.

    Of the body only a digest is kept.
    """

    __slots__ = (
        "front",
        "path",
        "digest",
        "is_safe",
        "at_s",
        "form",
        "status",
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
    ) -> None:
        self.form = form
        self.front = front
        self.path = path
        self.digest = digest_of(body)
        self.is_safe = is_safe
        self.at_s = at_s
        self.status: int | None = None


class FaultChecker:
    """What was sent, run and answered, and the faults meanwhile.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self.sent_by_id: dict[str, SentRequest] = {}
        self.runs_by_id: collections.Counter[str] = collections.Counter()
        self.services_by_path: dict[str, set[str]] = {}
        # Routes that all configurations of the run allow.
        self.permanent_routes: set[str] = set()
        self.moved_at_s_by_service: dict[tuple[str, str], float] = {}
        self.checked: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        # Most memory that a process of each front has used, in bytes.
        self.peak_bytes_by_front: dict[str, int] = {}
        self._broken_off: set[str] = set()
        self._fault_until_s: dict[str, float] = {}
        self._planned_until_s: dict[str, float] = {}

    def record_fault(
        self, place: str, for_s: float = 0.0, *, is_planned: bool = False
    ) -> None:
        """Notes a fault of a front, ``store`` or ``MACHINE`` until a time.

        Planned work excuses a front from bounds of time, not from cutting
        requests off.
        """
        by_place = self._planned_until_s if is_planned else self._fault_until_s
        until_s = self._clock.now() + for_s
        by_place[place] = max(by_place.get(place, 0.0), until_s)

    def is_in_touch(self, front: str) -> bool:
        """Returns whether bounds of time hold for a front now."""
        since_s = self._clock.now() - STABILITY_S - SLACK_S
        return all(
            by_place.get(place, 0.0) < since_s
            for place in (front, "store", MACHINE)
            for by_place in (self._fault_until_s, self._planned_until_s)
        )

    def record_request(self, id: str, sent: SentRequest) -> None:
        """Notes a request before it is written."""
        self.sent_by_id[id] = sent

    def record_run(
        self,
        id: str,
        *,
        service: str,
        path: str,
        body: bytes,
        draining_s: float | None,
    ) -> None:
        """Notes that a target has begun to work on a request.

        Args:
            id: Request id.
            service: Service of the target.
            path: Path as the target has read it.
            body: Body as the target has read it.
            draining_s: Monotonic time at which the store took the target's
                word that it leaves, None if it stays.
        """
        sent = self.sent_by_id.get(id)
        if sent is None or (sent.path, sent.digest) != (
            path,
            digest_of(body),
        ):
            form = "" if sent is None else f" ({sent.form})"
            self._break(f"UNASKED: {id} {path[:PATH_SHOWN]}{form}")
            return
        self.runs_by_id[id] += 1
        self.checked["run"] += 1
        if not sent.is_safe and self.runs_by_id[id] > 1:
            self._break(f"TWICE: {id} ran {self.runs_by_id[id]} times")
        if not sent.is_safe and sent.status in NOT_RUN_STATUSES:
            self._break(f"REFUSED: {id} runs after {sent.status}")
        self._check_route(id, sent, service)
        if draining_s is None:
            return
        late_s = self._clock.now() - draining_s
        if late_s > DRAIN_S + SLACK_S and self.is_in_touch(sent.front):
            self._break(f"DRAIN: {id} {late_s:.2f} s late by {sent.front}")
        self.checked["drain"] += 1

    def record_late_body(self, id: str, body: bytes) -> None:
        """Notes the body that a target has read after its answer."""
        sent = self.sent_by_id.get(id)
        self.checked["read on"] += 1
        if sent is None or sent.digest != digest_of(body):
            self._break(f"UNASKED: {id} other bytes in the body")

    def record_aborted_answer(self, id: str) -> None:
        """Notes that a target gives a request no whole answer."""
        self._broken_off.add(id)

    def record_memory(self, front: str, peak_bytes: int) -> None:
        """Notes the most memory that a process has used since its start."""
        before = self.peak_bytes_by_front.get(front, 0)
        self.peak_bytes_by_front[front] = max(before, peak_bytes)
        if before <= MEMORY_BYTES < peak_bytes:
            self._break(f"MEMORY: {front} used {peak_bytes / 1e6:.0f} MB")

    def record_answer(
        self,
        id: str,
        status: int,
        *,
        is_whole: bool,
        is_signed: bool,
        is_allowed: bool = True,
    ) -> None:
        """Notes the answer of a request.

        Args:
            id: Request id.
            status: Status of the answer.
            is_whole: Whether the body is the one that belongs to the id.
            is_signed: Whether a target has signed it.
            is_proper: Whether all configurations that may have been in
                force meanwhile allow the request.
        """
        sent = self.sent_by_id[id]
        sent.status = status
        self.checked[f"answer {status}"] += 1
        if status == 200 and not (is_whole and is_signed):
            self._break(f"MIXED: {id} whole={is_whole} signed={is_signed}")
        if (
            status in NOT_RUN_STATUSES
            and not sent.is_safe
            and self.runs_by_id[id] > 0
        ):
            self._break(f"REFUSED: {id} ran and got {status}")
        if status in REJECTING and is_allowed and not is_signed:
            self._check_denied(id, sent, status)

    def record_lost_connection(self, id: str) -> None:
        """Notes that a connection has ended without an answer."""
        sent = self.sent_by_id[id]
        self.checked["cut off"] += 1
        if not self.runs_by_id[id] or id in self._broken_off:
            # It has crossed the front's close of an idle connection, or its
            # target broke off.
            return
        since_s = sent.at_s - STABILITY_S
        if self._fault_until_s.get(sent.front, 0.0) < since_s:
            self._break(f"LOST: {id} cut off by {sent.front}")

    def record_timeout(self, id: str) -> None:
        """Notes that an answer has not come whole in twice its time.

        Unlike a connection that has ended, that depends on the machine.
        """
        sent = self.sent_by_id[id]
        self.checked["unanswered"] += 1
        if self.is_in_touch(sent.front):
            self._break(f"LOST: {id} not answered by {sent.front}")

    def record_missing_route(
        self, front: str, path: str, known_s: float
    ) -> None:
        """Notes a 404 for a route that the store has taken long ago."""
        age_s = self._clock.now() - known_s
        if age_s > CONFIG_S + SLACK_S and self.is_in_touch(front):
            path = path[:PATH_SHOWN]
            self._break(f"CONFIG: 404 for {path} by {front}, {age_s:.2f} s")

    def record_unexpected_exit(self, front: str, code: int) -> None:
        """Notes a front that ended without a signal."""
        self._break(f"fault: {front} ended with {code}")

    def record_no_recovery(self, share: float) -> None:
        """Notes that callers are not served after the faults."""
        self._break(f"RECOVER: {share:.2f} of the requests served")

    def _check_denied(self, id: str, sent: SentRequest, status: int) -> None:
        is_lasting = sent.path.split("/")[1] in self.permanent_routes
        if status == 404 and not is_lasting:
            # A front may not know a new route yet: see missing_route.
            return
        if (is_lasting and status in NEVER) or self.is_in_touch(sent.front):
            self._break(f"DENIED: {id} {status} by {sent.front} ({sent.form})")

    def _check_route(self, id: str, sent: SentRequest, service: str) -> None:
        if service not in self.services_by_path[sent.path.split("/")[1]]:
            self._break(
                f"ROUTE: {id} {sent.path[:PATH_SHOWN]} run by {service}"
            )
        moved_s = self.moved_at_s_by_service.get(
            (sent.path.split("/")[1], service)
        )
        if moved_s is None:
            return
        self.checked["moved route"] += 1
        if sent.at_s > moved_s + CONFIG_S + SLACK_S and self.is_in_touch(
            sent.front
        ):
            self._break(f"CONFIG: {id} run by {service}, which it left")

    def _break(self, text: str) -> None:
        if len(self.violations) < MAX_BROKEN:
            self.violations.append(text)
