"""Tests of decision counters and rate limits, and of docs/events.md."""

import ast
import pathlib
import unittest

import structlog

from bench import virtual_loop
from fuchsiacourse import decision_log
from fuchsiacourse import logs
from fuchsiacourse import metrics as metric_tables

ROOT = pathlib.Path(__file__).parent.parent
EVENT_CALLS = {"event", "warning", "error", "info"}
METRIC_TYPES_BY_CALL = {"count": "counter", "add": "counter", "gauge": "gauge"}
LABELS = {"service", "reason", "outcome", "verdict", "state"} | {
    "direction",
    "invariant",
}


def first_text(call):
    """Returns the literal event or metric name of a call, None if absent."""
    for item in call.args[:2]:
        if isinstance(item, ast.Constant) and isinstance(item.value, str):
            return item.value
    return None


def calls():
    """Yields the name of the function and the node of each call."""
    for path in sorted((ROOT / "fuchsiacourse").glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call):
                function = node.func
                name = getattr(function, "attr", getattr(function, "id", ""))
                yield name, node


def table(title):
    """Returns the rows of a table in docs/events.md by their first cell."""
    text = (ROOT / "docs" / "events.md").read_text()
    section = text.split(f"## {title}\n")[1].split("\n## ")[0]
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in section.splitlines()
        if line.startswith("| `")
    ]
    return {row[0].strip("`"): row[1:] for row in rows}


class EventListTest(unittest.TestCase):
    """docs/events.md must list exactly the events and metrics of the code."""

    def test_events_match_the_code(self):
        """Guards against undocumented events and documented absent ones."""
        levels = {}
        for name, call in calls():
            if name in EVENT_CALLS and first_text(call) is not None:
                level = "info" if name == "event" else name
                levels.setdefault(first_text(call), set()).add(level)
        listed = table("Events")
        self.assertEqual(sorted(levels), sorted(listed))
        for event, cells in listed.items():
            decision = decision_log.DECISIONS_BY_EVENT.get(event)
            limited = decision is not None and decision.is_limited
            (level,) = levels[event]
            self.assertEqual(level + ", limited" * limited, cells[0], event)

    def test_decisions_are_events(self):
        """Guards against a counter whose event is never logged."""
        listed = table("Events")
        for event in decision_log.DECISIONS_BY_EVENT:
            self.assertIn(event, listed)

    def test_metrics_match_the_code(self):
        """Guards against undocumented metrics and non-standard names."""
        found = {}
        for name, call in calls():
            if name in METRIC_TYPES_BY_CALL and first_text(call) is not None:
                labels = {item.arg for item in call.keywords}
                found[first_text(call)] = METRIC_TYPES_BY_CALL[name], labels
        for decision in decision_log.DECISIONS_BY_EVENT.values():
            labels = {"service"} if decision.has_service else set()
            labels |= {"reason"} if decision.reason_field else set()
            if decision.counter:
                found[decision.counter] = "counter", labels
        listed = {
            name: (cells[0], set(filter(None, cells[1].split(", "))))
            for name, cells in table("Metrics").items()
        }
        self.assertEqual(found, listed)
        for name, (type, labels) in found.items():
            self.assertEqual(type == "counter", name.endswith("_total"), name)
            self.assertLessEqual(labels, LABELS, name)


class DecisionLogTest(unittest.TestCase):
    """All decisions are counted, and the rate of log lines is limited."""

    def setUp(self):
        self.lines = []
        self.now = 0.0
        self.metrics = metric_tables.Metrics(program="test")

    def run_log(self, scenario):
        async def main():
            clock = virtual_loop.VirtualClock()
            processor = decision_log.DecisionLog(
                metrics=self.metrics, clock=clock
            )
            await scenario(
                structlog.wrap_logger(
                    None,
                    processors=[processor, self.keep],
                    wrapper_class=structlog.BoundLogger,
                ),
                clock,
            )

        virtual_loop.run(main())

    def keep(self, logger, method, event_dict):
        self.lines.append(event_dict)
        raise structlog.DropEvent

    def test_refusals_are_counted_but_not_all_logged(self):
        """Guards against an overload that floods logs or loses counts."""

        async def scenario(log, clock):
            for _ in range(100):
                for service in ("larder", "horaires"):
                    logs.event(
                        log,
                        "request_refused",
                        service=service,
                        reason="overload",
                    )
            self.assertEqual(2, len(self.lines))
            await clock.sleep(decision_log.LIMIT_INTERVAL_S)
            logs.event(
                log, "request_refused", service="larder", reason="deadline"
            )

        self.run_log(scenario)
        self.assertEqual(3, len(self.lines))
        self.assertEqual(99, self.lines[2]["lines_dropped"])
        counter = self.metrics.registry.get("requests_refused_total")
        labels = {"service": "larder", "reason": "overload"}
        self.assertEqual(100, counter.get(labels))
        self.assertEqual(1, counter.get(labels | {"reason": "deadline"}))

    def test_evidence_makes_no_series(self):
        """Guards against a series for each target, caller or message."""

        async def scenario(log, clock):
            for number in range(50):
                logs.warning(
                    log,
                    "target_ejected",
                    service="larder",
                    reason="latency",
                    target=f"larder-{number}",
                )
                logs.warning(log, "config_refused", reason=f"line {number}")

        self.run_log(scenario)
        self.assertEqual(100, len(self.lines))
        for name in ("target_ejections_total", "configs_refused_total"):
            counter = self.metrics.registry.get(name)
            self.assertEqual(1, len(counter.values), name)
