"""Tests of the platform adapter's codecs, settings, headers and endpoints."""

import ast
import json
import pathlib
import unittest

from bench import front_fakes
from fuchsiacourse import errors
from fuchsiacourse.front import http_answer
from fuchsiacourse.platform import config_codec
from fuchsiacourse.platform import directory_endpoints
from fuchsiacourse.platform import settings_file
from fuchsiacourse.platform import target_codec
from fuchsiacourse.platform import wire_headers

PACKAGE = pathlib.Path(config_codec.__file__).parent.parent
# Names of the platform's interfaces that only the adapter may use.
WIRE_NAMES = (
    "x-fuchsiacourse-",
    "/fuchsiacourse/",
    "traffic_split",
    "cold_remaining_ms",
    "target_latency_ms",
    "path_prefix",
    "heartbeat_ms",
    "stability_window_ms",
    "retry_budget_",
    "config_apply_ms",
    "header_timeout_ms",
    "serializable",
    "as_of",
    "has_more",
    "metadata",
)
# Names that the front uses as well.
OWN_NAMES = frozenset(("path_prefix",))

SETTINGS = """\
self.node=front-a-1
self.ip=10.1.0.34
self.zone=a
self.region=east
self.bootstrap=true
self.limits.cpu_share=0.86
self.limits.cores=2
network.listen.front=10.1.0.34:8548
network.listen.ready=10.1.0.34:8542
network.listen.control=10.1.0.34:8544
network.listen.directory=10.1.0.34:8546
network.internal_ports=7540,7555
network.seeds=10.1.0.34:8544,10.2.0.34:8544
network.zones.a=east
network.zones.c=west
platform.platform.address=10.200.1.7:8541
terms.bounds.drain_ms=2500
terms.bounds.grace_s=7
terms.bounds.retry_budget_ratio=0.25
a.field.of.tomorrow=true
"""


def config_value(**changes) -> bytes:
    spec = {
        "version": "r12",
        "services": [{"name": "s1", "max_connections": 390}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "hosts": [
            {
                "host": "One.example",
                "paths": [
                    {
                        "name": "r-1",
                        "path_prefix": "/a/",
                        "kind": "safe",
                        "timeout_ms": 2000,
                        "target_latency_ms": 900,
                        "priority": 2,
                        "traffic_split": [
                            {"service": "s1", "weight": 90},
                            {"service": "s2", "weight": 10},
                        ],
                        "max_attempts": 3,
                    },
                    {
                        "name": "r-2",
                        "path_prefix": "/a/b/",
                        "kind": "unsafe",
                        "timeout_ms": 2500,
                        "service": "s3",
                    },
                ],
            }
        ],
    }
    return json.dumps({"spec": {**spec, **changes}}).encode()


class ConfigCodecTest(unittest.TestCase):
    """Guards against a misread configuration of the operator."""

    def test_routes(self):
        table = config_codec.decode(config_value())
        self.assertEqual(12, table.version)
        safe = table.find("one.example", "/a/x")
        self.assertTrue(safe.is_idempotent)
        self.assertEqual((2.0, 0.9), (safe.timeout_s, safe.objective_s))
        self.assertEqual(3, safe.max_targets)
        self.assertEqual({"s1": 90, "s2": 10}, safe.weights_by_service)
        self.assertEqual("s1", safe.choose_service(0.89))
        self.assertEqual("s2", safe.choose_service(0.91))
        unsafe = table.find("one.example", "/a/b/c/d")
        self.assertFalse(unsafe.is_idempotent)
        self.assertEqual("s3", unsafe.choose_service(0.999))
        self.assertIsNone(table.find("one.example", "/b/"))
        self.assertIsNone(table.find("two.example", "/a/x"))
        self.assertIsNone(table.find("one.example", "/a"))
        self.assertEqual(15.0, table.limits.idle_timeout_s)

    def test_route_of_unknown_kind_is_not_idempotent(self):
        """Guards against a second run of requests of an unknown kind."""
        content = json.loads(config_value())
        content["spec"]["hosts"][0]["paths"][0]["kind"] = "keyed"
        table = config_codec.decode(json.dumps(content).encode())
        self.assertFalse(table.find("one.example", "/a/x").is_idempotent)

    def test_malformed_configuration_raises(self):
        """Guards against a malformed configuration put in force."""
        for value in (
            b"",
            b"\xff",
            b"{}",
            b'{"spec": 4}',
            config_value(version=12),
            config_value(hosts=None),
        ):
            with self.assertRaises(errors.ConfigRejected):
                config_codec.decode(value)

    def test_missing_limits_leave_the_routes_in_force(self):
        """Guards against routes lost to missing or malformed limits."""
        for limits in (None, {}, [], {"max_body_bytes": "many"}):
            table = config_codec.decode(config_value(limits=limits))
            self.assertIsNotNone(table.find("one.example", "/a/x"))
            self.assertIsNone(table.limits.max_body_bytes)
            table.limits.fill_missing(front_fakes.config().limits)
            self.assertEqual(100_000, table.limits.max_body_bytes)
            self.assertEqual(4096, table.limits.max_head_bytes)

    def test_limits_as_strings_are_read(self):
        """Guards against limits that are ignored if they are strings."""
        table = config_codec.decode(
            config_value(limits={"max_body_bytes": "1000"})
        )
        self.assertEqual(1000, table.limits.max_body_bytes)

    def test_services_without_a_cap_leave_the_routes_in_force(self):
        """Guards against routes lost to services with no connection limit."""
        for services in (None, [{"name": "s1"}, {"name": "s2"}, 7]):
            table = config_codec.decode(config_value(services=services))
            self.assertIsNotNone(table.find("one.example", "/a/x"))
            self.assertEqual({}, table.connection_limits_by_service)

    def test_unreadable_route_leaves_the_others_in_force(self):
        """Guards against a malformed route that disables all the others."""
        for change in (
            {"service": 4},
            {"service": None},
            {"timeout_ms": None},
            {"timeout_ms": "soon"},
            {"traffic_split": [{"service": "s1", "weight": 0}]},
            {"traffic_split": [{"weight": 4}]},
            {"priority": []},
        ):
            content = json.loads(config_value())
            content["spec"]["hosts"][0]["paths"][1].update(change)
            table = config_codec.decode(json.dumps(content).encode())
            self.assertEqual("r-1", table.find("one.example", "/a/x").name)
            self.assertIsNone(table.find("one.example", "/a/b/x"), change)
            self.assertTrue(table.may_be_unreadable("one.example", "/a/b/x"))
            self.assertFalse(table.may_be_unreadable("one.example", "/c/"))
            self.assertEqual(1, len(table.unreadable_routes))

    def test_unreadable_host_leaves_the_others_in_force(self):
        """Guards against a malformed host that disables all the others."""
        content = json.loads(config_value())
        for entry, may_be_unreadable_elsewhere in (
            ({"host": "two.example"}, False),
            ({"host": "two.example", "paths": [{"path_prefix": 7}]}, False),
            ({"host": 7, "paths": []}, True),
            ("two.example", True),
        ):
            hosts = [*content["spec"]["hosts"], entry]
            table = config_codec.decode(config_value(hosts=hosts))
            self.assertIsNotNone(table.find("one.example", "/a/x"))
            self.assertIsNone(table.find("two.example", "/a/x"))
            self.assertTrue(table.may_be_unreadable("two.example", "/a/x"))
            elsewhere = table.may_be_unreadable("one.example", "/c/")
            self.assertEqual(may_be_unreadable_elsewhere, elsewhere)


class TargetCodecTest(unittest.TestCase):
    """Guards against a misread registration of a target."""

    def test_record(self):
        spec = {
            "address": "10.128.0.9:8080",
            "born": 1700,
            "info": {
                "service": "s1",
                "version": "v1",
                "zone": "a",
                "slots": 3,
            },
            "status": {
                "state": "draining",
                "sequence": 4,
                "cold_remaining_ms": 1500,
            },
        }
        value = json.dumps({"spec": spec, "status": None}).encode()
        record = target_codec.decode("servers/i-7", value)
        self.assertEqual("i-7", record.id)
        self.assertEqual(("10.128.0.9", 8080), record.address)
        self.assertTrue(record.is_draining)
        self.assertEqual(1.5, record.remaining_cold_s)
        self.assertEqual(1700, record.started_ms)


class SettingsFileTest(unittest.TestCase):
    """Guards against misread settings and errors without the field's name."""

    def test_settings(self):
        settings = settings_file.parse(SETTINGS, source="test")
        self.assertEqual("front-a-1", settings.name)
        self.assertEqual(("10.1.0.34", 8546), settings.directory_address)
        self.assertEqual(7540, settings.peer_port)
        self.assertEqual({"a": "east", "c": "west"}, settings.regions_by_zone)
        self.assertEqual(2, len(settings.seeds))
        self.assertAlmostEqual(1.72, settings.cores)
        self.assertTrue(settings.is_first_start)
        self.assertEqual(2.5, settings.bounds.drain_s)
        self.assertEqual(7.0, settings.bounds.stop_s)
        self.assertEqual(0.25, settings.bounds.retry_share)

    def test_missing_and_malformed_fields_are_named(self):
        without = SETTINGS.replace("self.zone=a\n", "")
        with self.assertRaisesRegex(errors.SettingsError, "self.zone"):
            settings_file.parse(without, source="test")
        malformed = SETTINGS.replace("7540,7555", "many")
        with self.assertRaisesRegex(errors.SettingsError, "many"):
            settings_file.parse(malformed, source="test")


class WireHeadersTest(unittest.TestCase):
    """Guards against headers that are misread or wrongly forwarded."""

    def setUp(self) -> None:
        self.protocol = wire_headers.WireHeaders()

    def test_headers_to_a_target(self):
        """Guards against hop-by-hop and forged headers that reach a target."""
        request = front_fakes.request()
        request.headers += [
            (b"connection", b"close, X-Private"),
            (b"x-private", b"1"),
            (b"te", b"trailers"),
            (b"accept", b"*/*"),
            (b"x-fuchsiacourse-expected-instance", b"forged"),
        ]
        headers = self.protocol.target_headers(
            request, target_id="i-1", left_s=1.25
        )
        names = [name for name, _ in headers]
        self.assertNotIn(b"x-private", names)
        self.assertNotIn(b"te", names)
        self.assertIn((b"accept", b"*/*"), headers)
        self.assertIn((b"x-fuchsiacourse-request-deadline", b"1250"), headers)
        expected = b"x-fuchsiacourse-expected-instance"
        self.assertEqual(
            [b"i-1"], [value for name, value in headers if name == expected]
        )

    def test_answer_fields_of_a_target(self):
        """Guards against a misread load or state of a target."""
        fields = self.protocol.answer_fields(
            http_answer.HttpAnswer(
                status=503,
                headers=[
                    (b"x-fuchsiacourse-not-executed", b"1"),
                    (b"x-fuchsiacourse-server-load", b"3,1,8"),
                    (b"server-limit", b"2.5"),
                    (b"keep-alive", b"timeout=9, max=10"),
                ],
            )
        )
        self.assertTrue(fields.is_not_run)
        self.assertEqual((3, 1, 8), _load(fields))
        self.assertEqual(9.0, fields.idle_s)
        self.assertEqual(2.5, fields.rate_limit)

    def test_malformed_load_is_none(self):
        """Guards against an answer lost to a malformed load header."""
        for value in (b"", b"3", b"3,1", b"a,b,c", b"1,2,3,4"):
            fields = self.protocol.answer_fields(
                http_answer.HttpAnswer(
                    status=200,
                    headers=[(b"x-fuchsiacourse-server-load", value)],
                )
            )
            self.assertIsNone(fields.load, value)

    def test_malformed_rate_limit_is_none(self):
        """Guards against an answer lost to a malformed rate limit."""
        for value in (b"", b"a", b"-1", b"nan", b"inf", b"1,2"):
            fields = self.protocol.answer_fields(
                http_answer.HttpAnswer(
                    status=200, headers=[(b"server-limit", value)]
                )
            )
            self.assertIsNone(fields.rate_limit, value)

    def test_unreadable_deadline_is_none(self):
        """Guards against a request lost to a malformed deadline."""
        request = front_fakes.request()
        request.headers[-1] = (
            b"x-fuchsiacourse-request-deadline",
            b"soon",
        )
        self.assertIsNone(self.protocol.request_fields(request).timeout_s)

    def test_retry_after_is_a_fraction(self):
        """Guards against a short wait that is rounded to whole seconds."""
        headers = self.protocol.local_answer_headers(
            request_id="q", retry_after_s=0.5
        )
        self.assertIn((b"retry-after", b"0.50"), headers)

    def test_retry_after_is_rounded_up(self):
        """Guards against callers that return before their time."""
        for time_s, expected in (
            (0.0, b"0.00"),
            (0.07, b"0.07"),
            (0.29, b"0.29"),
            (3.098, b"3.10"),
            (3.0938, b"3.10"),
            (3.0901, b"3.10"),
        ):
            with self.subTest(time_s=time_s):
                headers = self.protocol.local_answer_headers(
                    request_id="q1", retry_after_s=time_s
                )
                self.assertIn((b"retry-after", expected), headers)


class DirectoryEndpointsTest(unittest.TestCase):
    """Guards against answers to probes of other paths."""

    def test_ready(self):
        request = front_fakes.request("/fuchsiacourse/ready")
        self.assertEqual(200, directory_endpoints.ready(request, True).status)
        self.assertEqual(503, directory_endpoints.ready(request, False).status)
        other = front_fakes.request("/elsewhere")
        self.assertEqual(404, directory_endpoints.ready(other, True).status)


class WireNamesTest(unittest.TestCase):
    """Guards against names of the platform outside the adapter."""

    def test_names_stay_in_the_adapter(self):
        for path in sorted(PACKAGE.rglob("*.py")):
            if path.is_relative_to(PACKAGE / "platform"):
                continue
            for name in _names(path):
                with self.subTest(path=path.name, name=name):
                    self.assertFalse(
                        any(wire in name for wire in WIRE_NAMES)
                        and name not in OWN_NAMES
                    )

    def test_adapter_uses_them(self):
        found = "".join(
            path.read_text(encoding="utf-8")
            for path in (PACKAGE / "platform").glob("*.py")
        )
        for wire in ("x-fuchsiacourse-", "traffic_split", "as_of"):
            self.assertIn(wire, found)


def _load(fields) -> tuple[int, int, int]:
    return fields.load.running, fields.load.waiting, fields.load.slots


def _names(path: pathlib.Path) -> set[str]:
    """Returns the identifiers and strings of a module, in lower case."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Constant):
            if isinstance(node.value, bytes):
                found.add(node.value.decode("latin-1").lower())
            elif isinstance(node.value, str) and " " not in node.value:
                found.add(node.value.lower())
        elif isinstance(node, ast.Attribute):
            found.add(node.attr.lower())
        elif isinstance(node, ast.Name):
            found.add(node.id.lower())
        elif isinstance(node, ast.arg):
            found.add(node.arg.lower())
    return found
