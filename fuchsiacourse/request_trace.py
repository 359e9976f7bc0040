"""What the logs of the fronts tell of one request."""

from __future__ import annotations

import re
import typing

_FIELD = re.compile(r"(\w+)=('(?:[^'\\]|\\.)*'|\S+)")
# Events about a target that explain a choice made shortly after them.
_BELIEFS = frozenset(
    (
        "target_suspected",
        "target_trusted",
        "target_misplaced",
        "target_leaving",
        "target_removed",
        "target_lapsed",
    )
)
_CIRCUMSTANCES = frozenset(
    ("store_lost", "store_regained", "config_adopted", "stop_started")
)

Fields = dict[str, str]


class RequestTrace:
    """Lines about a request, and those that explain them.

    Args:
        request_id: Id of the request.
    """

    __slots__ = ("_request_id", "_own", "_beliefs_by_target", "_by_host")

    def __init__(self, *, request_id: str) -> None:
        self._request_id = request_id
        self._own: list[Fields] = []
        self._beliefs_by_target: dict[tuple[str, str], Fields] = {}
        self._by_host: dict[str, dict[str, Fields]] = {}

    def read(self, lines: typing.Iterable[str]) -> None:
        """Reads log lines in the order of their time."""
        for line in lines:
            fields = parse(line)
            event = fields.get("event", "")
            if fields.get("request_id") == self._request_id:
                self._add(fields)
            elif event in _BELIEFS:
                key = fields.get("host", ""), fields.get("target", "")
                self._beliefs_by_target[key] = fields
            elif event in _CIRCUMSTANCES:
                host = fields.get("host", "")
                self._by_host.setdefault(host, {})[event] = fields

    def lines(self) -> list[str]:
        """Returns the story, a line for each step."""
        if not self._own:
            return [f"no line names request {self._request_id}"]
        return [_told(fields) for fields in self._own]

    def _add(self, fields: Fields) -> None:
        host = fields.get("host", "")
        if not self._own:
            for earlier in self._by_host.get(host, {}).values():
                self._own.append({**earlier, "note": "before"})
        if fields.get("event") == "request_sent":
            key = host, fields.get("target", "")
            belief = self._beliefs_by_target.get(key)
            if belief is not None:
                self._own.append({**belief, "note": "before"})
        self._own.append(fields)


def parse(line: str) -> Fields:
    """Returns the fields of a log line of key=value pairs."""
    return {
        name: value[1:-1] if value.startswith("'") else value
        for name, value in _FIELD.findall(line)
    }


def _told(fields: Fields) -> str:
    left_out = {"timestamp", "level", "event", "program", "request_id", "note"}
    details = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in left_out
    )
    mark = "  (before) " if fields.get("note") else ""
    return f"{fields.get('timestamp', '')} {mark}{fields['event']} {details}"
