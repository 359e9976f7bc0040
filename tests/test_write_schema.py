"""Tests of the committed schemas and samples."""

import pathlib
import unittest

from bench import write_schema
from fuchsiacourse import publish_files
from fuchsiacourse import service_file

SAMPLES = pathlib.Path(__file__).parent.parent / "samples"
# Targets of each service, and slots, connection limit, time zone and zones
# of all, from docs/design.md.
SIZES = {
    "glenmorach": (
        {"larder": 8, "dispatch": 12, "kettlebook": 15},
        3,
        400,
        "Europe/London",
        {"tay-a", "tay-b", "lot-a", "lot-b"},
    ),
    "piste-carthage": (
        {"horaires": 8, "reservations": 9, "couloirs": 12},
        6,
        330,
        "Africa/Tunis",
        {"ariana", "bizerte", "sousse", "monastir"},
    ),
}


class WriteSchemaTest(unittest.TestCase):
    """Committed schemas and samples must match the models."""

    def test_committed_schemas_are_current(self):
        """Guards against a model changed without `make schema`."""
        committed = {
            path.name: path.read_text(encoding="utf-8")
            for path in write_schema.SCHEMA_DIRECTORY.glob("*.json")
        }
        self.assertEqual(write_schema.schemas(), committed)

    def test_samples(self):
        """Guards against samples that are invalid or differ from the docs."""
        for user, (counts, slots, limit, time_zone, zones) in SIZES.items():
            services = {
                item.name: item.parsed
                for item in publish_files.collect(SAMPLES / user)
            }
            self.assertEqual(
                counts,
                {name: len(item.targets) for name, item in services.items()},
            )
            for item in services.values():
                self.check(item, slots, limit, time_zone, zones)

    def check(
        self, item: service_file.ServiceFile, slots, limit, time_zone, zones
    ) -> None:
        self.assertEqual(time_zone, item.time_zone)
        self.assertEqual(
            zones, {target.availability_zone for target in item.targets}
        )
        for target in item.targets:
            self.assertEqual(
                (slots, limit), (target.slots, target.connection_limit)
            )
            self.assertTrue(target.address.startswith("127."))
        objectives = {objective.kind for objective in item.objectives}
        self.assertEqual(set(item.kinds_by_name), objectives)
