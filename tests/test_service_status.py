"""Tests of the stored form of status objects."""

import json
import unittest

from fuchsiacourse import errors
from fuchsiacourse import service_status


class ServiceStatusTest(unittest.TestCase):
    """Each process must read the objects that another one wrote."""

    def test_round_trip(self):
        """Guards against a field that is not stored."""
        entry = service_status.Ejection(
            since=1.5,
            reason="latency",
            evidence={"kind": "lookup"},
            by="m1",
            backoff_s=5.0,
            incarnation="i1",
        )
        written = service_status.ServiceStatus(
            service="larder",
            config_number=3,
            ejected={"larder-1": entry},
            leaving={"larder-2": "i2"},
            cold={"larder-3": "i3"},
            released={"larder-4": "m1/0"},
        )
        written.record(
            "larder-1",
            service_status.EJECTED,
            "latency",
            at=1.5,
            evidence={"score": 9.0, "threshold": 8.0},
            member="m1",
        )
        read = service_status.decode(written.encode(), service="larder")
        self.assertEqual(written.encode(), read.encode())
        self.assertEqual("i1", read.ejected["larder-1"].incarnation)
        (change,) = read.history
        self.assertEqual(
            ("larder-1", "ejected", 9.0, 8.0, "m1"),
            (
                change.target,
                change.change,
                change.score,
                change.threshold,
                change.member,
            ),
        )

    def test_history_is_bounded(self):
        """Guards against an object that grows with each ejection."""
        status = service_status.ServiceStatus(service="larder")
        copy = status.copy()
        for number in range(service_status.MAX_HISTORY + 5):
            copy.record(
                f"larder-{number}",
                service_status.READMITTED,
                "floor",
                at=float(number),
                evidence={},
                member="m1",
            )
        read = service_status.decode(copy.encode(), service="larder")
        self.assertEqual(service_status.MAX_HISTORY, len(read.history))
        self.assertEqual("larder-54", read.history[-1].target)
        self.assertEqual([], status.history)

    def test_history_can_be_missing_or_malformed(self):
        """Guards against losing ejections because of a bad history."""
        entry = service_status.Ejection(
            since=1.5, reason="latency", evidence={}, by="m1", backoff_s=5.0
        )
        content = json.loads(
            service_status.ServiceStatus(
                service="larder", ejected={"larder-1": entry}
            ).encode()
        )
        del content["history"]
        for history in (
            None,
            "x",
            [1],
            [{"at": "x", "score": 10**400, "threshold": float("inf")}],
        ):
            for _ in range(2):
                read = service_status.decode(
                    json.dumps(content).encode(), service="larder"
                )
                self.assertIn("larder-1", read.ejected)
                read.encode()
                content["history"] = history

    def test_wrong_content_is_refused(self):
        """Guards against using an object that is malformed or another's."""
        other = service_status.ServiceStatus(service="horaires").encode()
        for value in (other, b"{", b"[]", b'{"service": "larder"}'):
            with self.assertRaises(errors.StoreError):
                service_status.decode(value, service="larder")
