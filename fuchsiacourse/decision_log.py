"""Counters and rate limits for log events that record decisions."""

from __future__ import annotations

import typing

import structlog

from fuchsiacourse import clock as clocks
from fuchsiacourse import metrics as metric_tables

# Shortest time between two lines of a rate-limited event for one service.
LIMIT_INTERVAL_S = 1.0
# Maximum number of pairs of event and service whose last line is remembered.
# At this number all pairs are forgotten, so that requests for unknown
# services can't use up memory.
MAX_LIMITED = 10_000

_UNKNOWN = "unknown"


class Decision:
    """Counter and rate limit of one log event.

    Args:
        counter: Name of the counter; empty for none.
        doc: Help text of the counter.
        has_service: Whether the counter has the label ``service``.
        reason_field: Field of the event that becomes the label ``reason``;
            it must have few values. Empty for no such label.
        is_limited: Whether to log at most one line per LIMIT_INTERVAL_S and
            service.
    """

    __slots__ = ("counter", "doc", "has_service", "reason_field", "is_limited")

    def __init__(
        self,
        *,
        counter: str = "",
        doc: str = "",
        has_service: bool = False,
        reason_field: str = "",
        is_limited: bool = False,
    ) -> None:
        self.counter = counter
        self.doc = doc
        self.has_service = has_service
        self.reason_field = reason_field
        self.is_limited = is_limited


DECISIONS_BY_EVENT = {
    "target_suspected": Decision(
        counter="target_suspicions_total",
        doc="Targets that became suspect.",
        has_service=True,
    ),
    "target_ejected": Decision(
        counter="target_ejections_total",
        doc="Targets ejected by this process.",
        has_service=True,
        reason_field="reason",
    ),
    "target_readmitted": Decision(
        counter="target_readmissions_total",
        doc="Targets re-admitted by this process.",
        has_service=True,
        reason_field="reason",
    ),
    "ejection_held_by_floor": Decision(
        counter="ejections_held_total",
        doc="Log lines on ejections that the floor prevents.",
        has_service=True,
    ),
    "request_refused": Decision(
        counter="requests_refused_total",
        doc="Requests refused by this process.",
        has_service=True,
        reason_field="reason",
        is_limited=True,
    ),
    "request_hedged": Decision(
        counter="requests_hedged_total",
        doc="Hedged attempts.",
        has_service=True,
        is_limited=True,
    ),
    "request_retried": Decision(
        counter="requests_retried_total",
        doc="Requests sent again after a failed attempt.",
        has_service=True,
        reason_field="reason",
        is_limited=True,
    ),
    "request_withdrawn": Decision(
        counter="requests_withdrawn_total",
        doc="Withdrawals of requests at their deadline.",
        has_service=True,
        reason_field="reason",
        is_limited=True,
    ),
    "request_quarantined": Decision(
        counter="requests_quarantined_total",
        doc="Fingerprints quarantined by this process.",
        has_service=True,
    ),
    "config_adopted": Decision(
        counter="configs_adopted_total",
        doc="Configurations put in force.",
    ),
    "config_refused": Decision(
        counter="configs_refused_total",
        doc="Configurations that could not be parsed.",
    ),
    "member_changed": Decision(
        counter="member_changes_total",
        doc="Changes of members by their new state.",
        reason_field="state",
    ),
    # Counted by gossip_dropped_total.
    "gossip_packet_dropped": Decision(is_limited=True),
    "account_over_limit": Decision(
        counter="account_limit_refusals_total",
        doc="Requests of accounts over their limit.",
        has_service=True,
        is_limited=True,
    ),
    "key_claimed": Decision(
        counter="keys_claimed_total",
        doc="Caller-chosen keys claimed.",
        is_limited=True,
    ),
    "key_claim_refused": Decision(
        counter="key_claims_refused_total",
        doc="Caller-chosen keys that could not be claimed.",
        reason_field="reason",
        is_limited=True,
    ),
    "hand_over_done": Decision(
        counter="hand_overs_sent_total",
        doc="Ledgers handed over to a successor.",
    ),
    "hand_over_failed": Decision(
        counter="hand_overs_failed_total",
        doc="Hand-overs that were not acknowledged in full.",
    ),
    "hand_over_without_successor": Decision(
        counter="hand_overs_without_successor_total",
        doc="Hand-overs that found no successor.",
    ),
    "hand_over_taken": Decision(
        counter="hand_overs_received_total",
        doc="Ledgers taken over from a stopping entry.",
    ),
    "hand_over_refused": Decision(
        counter="hand_overs_refused_total",
        doc="Hand-overs refused by this process.",
    ),
    "invariant_broken": Decision(
        counter="invariant_failures_total",
        doc="Failed checks of an invariant.",
        reason_field="invariant",
    ),
}


class DecisionLog:
    """Structlog processor that counts decisions and limits their log rate.

    Counting in the log processor ensures that no code path can log a
    decision without counting it. A rate-limited line carries the number of
    lines dropped before it as ``lines_dropped``.

    Args:
        metrics: Metrics of the process.
        clock: Source of time.
    """

    def __init__(
        self, *, metrics: metric_tables.Metrics, clock: clocks.Clock
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._logged_at_s: dict[tuple[str, ...], float] = {}
        self._dropped: dict[tuple[str, ...], int] = {}

    def __call__(
        self,
        logger: typing.Any,
        method: str,
        event_dict: typing.MutableMapping[str, typing.Any],
    ) -> typing.MutableMapping[str, typing.Any]:
        """Counts one event and returns it.

        Raises:
            structlog.DropEvent: The line is above the rate limit.
        """
        name = str(event_dict.get("event", ""))
        decision = DECISIONS_BY_EVENT.get(name)
        if decision is None:
            return event_dict
        if decision.counter:
            self._count(decision, event_dict)
        if decision.is_limited:
            self._limit(name, event_dict)
        return event_dict

    def _count(
        self,
        decision: Decision,
        event_dict: typing.MutableMapping[str, typing.Any],
    ) -> None:
        labels = {}
        if decision.has_service:
            labels["service"] = str(event_dict.get("service") or _UNKNOWN)
        if decision.reason_field:
            reason = event_dict.get(decision.reason_field)
            labels["reason"] = str(reason or _UNKNOWN)
        self._metrics.count(decision.counter, decision.doc, **labels)

    def _limit(
        self,
        name: str,
        event_dict: typing.MutableMapping[str, typing.Any],
    ) -> None:
        key = name, str(event_dict.get("service", ""))
        now = self._clock.now()
        logged_at_s = self._logged_at_s.get(key)
        if logged_at_s is not None and now - logged_at_s < LIMIT_INTERVAL_S:
            self._dropped[key] = self._dropped.get(key, 0) + 1
            raise structlog.DropEvent
        if len(self._logged_at_s) >= MAX_LIMITED:
            self._logged_at_s.clear()
            self._dropped.clear()
        self._logged_at_s[key] = now
        dropped = self._dropped.pop(key, 0)
        if dropped:
            event_dict["lines_dropped"] = dropped
