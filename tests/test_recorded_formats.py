"""Tests that this build reads what landed builds have written."""

import json
import pathlib
import typing
import unittest

from bench import record_formats
from fuchsiacourse.front import membership_packet
from fuchsiacourse.front import packet_bundle

FOLDER = pathlib.Path(__file__).parent / "formats"
# Builds whose records must be there.
BUILDS = frozenset(("4c6df6d", "0d88622"))


class RecordedFormatsTest(unittest.TestCase):
    """Guards against an upgrade in which fronts misread each other."""

    def check(
        self, kind: str, decode: typing.Callable[[bytes], typing.Any]
    ) -> None:
        for path in sorted(FOLDER.glob("*.json")):
            record = json.loads(path.read_text(encoding="utf-8"))
            self.assertTrue(record[kind], path.name)
            for number, entry in enumerate(record[kind]):
                with self.subTest(build=path.stem, number=number):
                    data = bytes.fromhex(entry["data"])
                    found = record_formats.fields_of(decode(data))
                    self.assert_has(entry["fields"], found)

    def assert_has(self, expected: typing.Any, found: typing.Any) -> None:
        """Checks all recorded fields; a newer build may read more."""
        if isinstance(expected, dict):
            for name, value in expected.items():
                self.assert_has(value, found[name])
        elif isinstance(expected, list):
            self.assertEqual(len(expected), len(found))
            for one, other in zip(expected, found):
                self.assert_has(one, other)
        else:
            self.assertEqual(expected, found)

    def test_records_are_there(self):
        """Guards against a check that has nothing to read."""
        names = {path.stem for path in FOLDER.glob("*.json")}
        self.assertLessEqual(BUILDS, names)

    def test_packets(self):
        self.check("packets", membership_packet.decode)

    def test_bundles(self):
        self.check("bundles", packet_bundle.decode)

    def test_this_build_reads_itself(self):
        """Guards against a value that this build can't encode."""
        record = record_formats.record()
        self.assertEqual(len(record_formats.packets()), len(record["packets"]))
