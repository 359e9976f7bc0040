"""Reconstructs the course of one request from the logs of the fronts."""

from __future__ import annotations

import re
import typing

_FIELD = re.compile(r"(\w+)=('(?:[^'\\]|\\.)*'|\S+)")
# Events about a target that explain a choice made shortly afterwards.
_TARGET_EVENTS = frozenset(
    (
        "target_suspected",
        "target_trusted",
        "target_misplaced",
        "target_leaving",
        "target_removed",
        "target_lapsed",
    )
)
# Events of a front that concern all of its requests.
_HOST_EVENTS = frozenset(
    ("store_lost", "store_regained", "config_adopted", "stop_started")
)

Fields = dict[str, str]


class RequestTrace:
    """Collects the log events of a request and those that explain them.

    Before the first event of the request, the trace shows the latest events
    of the same host about the store, the configuration and a shutdown. Before
    each attempt, it shows the latest event about the target.

    Args:
        request_id: Id of the request.
    """

    __slots__ = (
        "_request_id",
        "_events",
        "_last_event_by_target",
        "_last_events_by_host",
    )

    def __init__(self, *, request_id: str) -> None:
        self._request_id = request_id
        self._events: list[Fields] = []
        self._last_event_by_target: dict[tuple[str, str], Fields] = {}
        self._last_events_by_host: dict[str, dict[str, Fields]] = {}

    def read(self, lines: typing.Iterable[str]) -> None:
        """Reads log lines, which must be in chronological order."""
        for line in lines:
            fields = parse(line)
            event = fields.get("event", "")
            if fields.get("request_id") == self._request_id:
                self._add(fields)
            elif event in _TARGET_EVENTS:
                key = fields.get("host", ""), fields.get("target", "")
                self._last_event_by_target[key] = fields
            elif event in _HOST_EVENTS:
                host = fields.get("host", "")
                self._last_events_by_host.setdefault(host, {})[event] = fields

    def lines(self) -> list[str]:
        """Returns one line for each collected event."""
        if not self._events:
            return [f"no line names request {self._request_id}"]
        return [_format_event(fields) for fields in self._events]

    def _add(self, fields: Fields) -> None:
        host = fields.get("host", "")
        if not self._events:
            for earlier in self._last_events_by_host.get(host, {}).values():
                self._events.append({**earlier, "note": "before"})
        if fields.get("event") == "request_sent":
            key = host, fields.get("target", "")
            target_event = self._last_event_by_target.get(key)
            if target_event is not None:
                self._events.append({**target_event, "note": "before"})
        self._events.append(fields)


def parse(line: str) -> Fields:
    """Returns the fields of a log line of key=value pairs.

    Escapes in quoted values are kept as they are.
    """
    return {
        name: value[1:-1] if value.startswith("'") else value
        for name, value in _FIELD.findall(line)
    }


def _format_event(fields: Fields) -> str:
    omitted = {"timestamp", "level", "event", "program", "request_id", "note"}
    details = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in omitted
    )
    mark = "  (before) " if fields.get("note") else ""
    return f"{fields.get('timestamp', '')} {mark}{fields['event']} {details}"
