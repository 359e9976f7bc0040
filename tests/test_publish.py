"""Tests of the operators' programs against the platform stub."""

import asyncio
import json
import pathlib
import tempfile
import unittest
from unittest import mock

from typer import testing

from fuchsiacourse import ctl
from fuchsiacourse import in_force
from fuchsiacourse import logs
from fuchsiacourse import platform_stub
from fuchsiacourse import publish
from fuchsiacourse import publisher
from fuchsiacourse import report as report_program
from fuchsiacourse import service_status
from fuchsiacourse import settings
from fuchsiacourse import store
from tests import test_grpc_peers
from tests import test_service_file


class OperatorProgramTest(unittest.IsolatedAsyncioTestCase):
    """Runs the programs in a thread while the stub serves the event loop."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        address = test_grpc_peers.free_address()
        self.stub = platform_stub.PlatformStub(
            options=settings.PlatformStubSettings(
                program="platform-stub", http_address=address, host_lag_s=0
            ),
            log=logs.silent(),
        )
        await self.stub.start()
        self.addAsyncCleanup(self.stub.stop)
        self.options = {
            "program": "operator",
            "platform": {"url": f"http://{address}", "timeout_s": 0.3},
            "operator": "ann",
        }
        (self.folder / "files").mkdir()

    def write(self, name: str, content) -> pathlib.Path:
        path = self.folder / name
        if not isinstance(content, str):
            content = json.dumps(content)
        path.write_text(content, encoding="utf-8")
        return path

    async def run_program(self, app, *arguments: str):
        path = self.write("settings.json", self.options)
        return await asyncio.to_thread(
            testing.CliRunner().invoke,
            app,
            [*arguments, "--settings", str(path)],
        )

    async def publish(self, *arguments: str):
        return await self.run_program(
            publish.app, str(self.folder / "files"), *arguments
        )


class PublishTest(OperatorProgramTest):
    """Invalid input must exit with 2, name the fault and write nothing."""

    async def assert_rejected(self, *parts: str) -> None:
        revision = self.stub.model.table.revision
        result = await self.publish()
        self.assertEqual(2, result.exit_code, result.output)
        for part in parts:
            self.assertIn(part, result.stderr)
        self.assertEqual(revision, self.stub.model.table.revision)

    async def test_publish_and_dry_run(self):
        """Guards against a dry run that writes."""
        self.write("files/larder.json", test_service_file.valid())
        dry = await self.publish("--dry-run")
        self.assertEqual(0, dry.exit_code, dry.output)
        self.assertEqual(0, self.stub.model.table.revision)
        result = await self.publish("--json")
        self.assertEqual(["larder"], json.loads(result.stdout)["added"])
        self.assertEqual(2, self.stub.model.table.revision)

    async def test_base_and_conflict(self):
        """Guards against overwriting changes made since the --base."""
        content = test_service_file.valid()
        self.write("files/larder.json", content)
        await self.publish()
        shown = await self.run_program(ctl.app, "manifest")
        base = self.write("base.json", shown.stdout)
        self.write("files/larder.json", content | {"floor_slots": 1})
        await self.publish()
        self.write("files/larder.json", content | {"floor_slots": 0})
        result = await self.publish("--base", str(base))
        self.assertEqual(1, result.exit_code, result.output)
        self.assertIn("larder", result.stderr)

    async def test_malformed_json(self):
        """Guards against publishing the valid files beside a broken one."""
        self.write("files/larder.json", test_service_file.valid())
        self.write("files/other.json", '{"service": ')
        await self.assert_rejected("other.json: (file)", "Invalid JSON")

    async def test_unknown_field(self):
        """Guards against ignoring a misspelt field."""
        content = test_service_file.valid() | {"flor_slots": 1}
        self.write("files/larder.json", content)
        await self.assert_rejected("larder.json: flor_slots")

    async def test_wrong_type(self):
        """Guards against accepting a string for a number."""
        content = test_service_file.valid()
        content["targets"][0]["slots"] = "three"
        self.write("files/larder.json", content)
        await self.assert_rejected("larder.json: targets.0.slots", "integer")

    async def test_floor_above_the_targets(self):
        """Guards against a floor above the slots of all targets."""
        content = test_service_file.valid() | {"floor_slots": 4}
        self.write("files/larder.json", content)
        await self.assert_rejected("larder.json", "floor_slots is 4")

    async def test_duplicates_across_files(self):
        """Guards against files with the same route or service."""
        content = test_service_file.valid()
        self.write("files/larder.json", content)
        self.write("files/other.json", content | {"service": "other"})
        self.write("files/twin.json", content)
        await self.assert_rejected(
            "other.json: kinds.lookup: duplicate route GET /larder/slots",
            "twin.json: service: larder is also described",
        )

    async def test_duplicate_route_of_a_published_service(self):
        """Guards against taking a route of a service published before."""
        content = test_service_file.valid()
        path = self.write("files/larder.json", content)
        await self.publish()
        path.unlink()
        self.write("files/other.json", content | {"service": "other"})
        await self.assert_rejected("other.json", "also in services/larder/")

    async def test_settings_of_another_program(self):
        """Guards against accepting the settings file of another program."""
        self.write("files/larder.json", test_service_file.valid())
        self.options["program"] = "dispatch"
        await self.assert_rejected("settings.json: program", "operator")

    async def test_no_files(self):
        """Guards against treating a mistyped directory as no change."""
        await self.assert_rejected("no *.json files")

    async def test_outage(self):
        """Guards against a traceback when the platform is unreachable."""
        self.write("files/larder.json", test_service_file.valid())
        await self.stub.stop()
        with mock.patch.object(publisher, "ATTEMPTS", 2):
            result = await self.publish()
        self.assertEqual(1, result.exit_code, result.output)
        self.assertNotIn("Traceback", result.output)


class CtlTest(OperatorProgramTest):
    """ctl and report must show what is in force and why."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        content = test_service_file.valid()
        first = content["targets"][0]
        content["targets"] += [
            first
            | {"id": f"larder-{number}", "address": f"127.0.0.1:{number}"}
            for number in (2, 3)
        ]
        # The floor needs two of the three targets.
        self.write("files/larder.json", content | {"floor_slots": 6})
        await self.publish()
        member = in_force.MemberReport(
            host="127.0.1.1", role="dispatch", state="alive", number=0
        )
        report = in_force.ZoneReport(
            availability_zone="tay-a",
            region="tayside",
            reporter="m1",
            written_at=1.8e9,
            members={"m1": member},
        )
        ejection = service_status.Ejection(
            since=1.8e9,
            reason="slow",
            evidence={"ratio": 9.5},
            by="m1",
            backoff_s=5,
        )
        status = service_status.ServiceStatus(
            service="larder",
            ejected={"larder-1": ejection, "larder-2": ejection},
        )
        for number, change in enumerate(
            (service_status.EJECTED, service_status.READMITTED)
        ):
            status.record(
                "larder-3",
                change,
                f"reason-{number}",
                at=1.8e9 + number,
                evidence={"score": 9.5, "threshold": 8.25},
                member="m8",
            )
        for key, content in (
            ("in_force/tay-a", report.model_dump_json().encode()),
            ("status/larder", status.encode()),
            ("status/other", b"[]"),
        ):
            self.stub.model.table.put(key, content, if_version=None)
        self.stub.model.set_host(
            store.HostRecord(
                host="127.0.1.9",
                availability_zone="tay-b",
                region="tayside",
                leaving=True,
            )
        )

    async def test_status(self):
        """Guards against hiding lagging members and unreadable objects."""
        result = await self.run_program(ctl.app, "status", "--json")
        content = json.loads(result.stdout)
        self.assertEqual(1, content["members"][0]["lag"])
        self.assertEqual(1, content["zones"][0]["behind"])
        self.assertEqual(
            ["re-admitted", "ejected", "in use"],
            [row["state"] for row in content["services"]["larder"]],
        )
        self.assertEqual("leaving", content["hosts"][0]["state"])
        self.assertIn("status/other", content["problems"][0])
        shown = await self.run_program(ctl.app, "status")
        self.assertEqual(0, shown.exit_code, shown.output)
        self.assertIn("127.0.1.9", shown.stdout)

    async def test_explain(self):
        """Guards against showing an ejection without its evidence."""
        result = await self.run_program(ctl.app, "explain", "larder")
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn(
            'larder-2 is ejected: slow; evidence {"ratio": 9.5}', result.stdout
        )
        self.assertIn("m1", result.stdout)
        unknown = await self.run_program(ctl.app, "explain", "ladder")
        self.assertEqual(2, unknown.exit_code)
        self.assertIn("ladder", unknown.stderr)

    async def test_history_is_shown(self):
        """Guards against past ejections missing from ctl and report."""
        result = await self.run_program(ctl.app, "explain", "larder")
        self.assertIn("2027-01-15T08:00:01+00:00", result.stdout)
        self.assertLess(
            result.stdout.index("reason-1"), result.stdout.index("reason-0")
        )
        shown = await self.run_program(report_program.app)
        self.assertEqual(0, shown.exit_code, shown.output)
        for text in ("reason-0", "readmitted", "8.25", "m8"):
            self.assertIn(text, result.stdout)
            self.assertIn(text, shown.stdout)
        as_json = await self.run_program(report_program.app, "--json")
        rows = json.loads(as_json.stdout)["history"]
        self.assertEqual(
            ["readmitted", "ejected"], [row["change"] for row in rows]
        )
        self.assertEqual({"larder"}, {row["service"] for row in rows})
