"""Tests of the validation of service files."""

import json
import unittest

from fuchsiacourse import errors
from fuchsiacourse import service_file


def valid() -> dict:
    """Returns the content of a valid service file."""
    return {
        "service": "larder",
        "targets": [
            {
                "id": "larder-1",
                "address": "127.0.0.1:9001",
                "availability_zone": "tay-a",
                "region": "tayside",
                "slots": 3,
                "connection_limit": 400,
            }
        ],
        "floor_slots": 2,
        "kinds": [
            {
                "name": "lookup",
                "method": "GET",
                "path_prefix": "/larder/slots",
                "idempotent": True,
                "worth": 1.0,
                "deadline_ms": 800,
                "length": "short",
            }
        ],
    }


class ServiceFileTest(unittest.TestCase):
    """An invalid file must be rejected with file, field and reason."""

    def parse(self, content: dict) -> service_file.ServiceFile:
        return service_file.parse(
            json.dumps(content).encode(), source="larder.json"
        )

    def assert_rejected(self, content: dict, *parts: str) -> None:
        with self.assertRaises(errors.ServiceFileError) as caught:
            self.parse(content)
        for part in ("larder.json", *parts):
            self.assertIn(part, str(caught.exception))

    def test_valid_file_is_parsed(self):
        """Guards against rejecting a valid file."""
        parsed = self.parse(valid())
        self.assertEqual(3, parsed.total_slots)
        self.assertEqual(
            ("GET", "/larder/slots"), parsed.kinds_by_name["lookup"].route
        )

    def test_unknown_field_is_rejected(self):
        """Guards against ignoring a misspelt field."""
        content = valid()
        content["targets"][0]["slot"] = 3
        self.assert_rejected(content, "targets.0.slot", "not permitted")

    def test_wrong_type_is_rejected(self):
        """Guards against accepting a string for a number."""
        content = valid()
        content["targets"][0]["slots"] = "three"
        self.assert_rejected(content, "targets.0.slots", "integer")

    def test_floor_above_targets_is_rejected(self):
        """Guards against a floor above the slots of all targets."""
        content = valid()
        content["floor_slots"] = 4
        self.assert_rejected(content, "floor_slots is 4", "3 slots")

    def test_duplicate_route_is_rejected(self):
        """Guards against two request kinds with the same route."""
        content = valid()
        content["kinds"].append(
            dict(
                content["kinds"][0], name="other", path_prefix="/larder/slots/"
            )
        )
        self.assert_rejected(content, "duplicate route GET /larder/slots")

    def test_malformed_json_is_rejected(self):
        """Guards against a traceback for a truncated file."""
        with self.assertRaises(errors.ServiceFileError) as caught:
            service_file.parse(b'{"service": ', source="larder.json")
        self.assertIn("larder.json: (file)", str(caught.exception))
