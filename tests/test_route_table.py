"""Tests of the route lookup."""

import unittest

from bench import front_fakes
from fuchsiacourse.front import http_request

HOST = front_fakes.HOST


def route(prefix: str):
    return front_fakes.route(name=prefix, path_prefix=prefix)


def request(target: bytes, host: bytes):
    return http_request.HttpRequest(
        method=b"GET",
        target=target,
        headers=[(b"host", host)],
        body=b"",
        received_s=0.0,
        keeps_alive=True,
    )


class RouteTableTest(unittest.TestCase):
    """Guards against a route other than the one with the longest prefix."""

    def found(self, target: str, host: str = HOST, *prefixes: str):
        table = front_fakes.config(
            *(route(prefix) for prefix in prefixes or ("/a/", "/a/b/"))
        )
        item = request(target.encode("latin-1"), host.encode())
        chosen = table.find(item.host, item.path)
        return None if chosen is None else chosen.path_prefix

    def test_longest_prefix(self):
        for path, prefix in (
            ("/a/", "/a/"),
            ("/a/b", "/a/"),
            ("/a/b/", "/a/b/"),
            ("/a/b/c/d", "/a/b/"),
            ("/a/bc/d", "/a/"),
            ("/a//b/", "/a/"),
            ("/a", None),
            ("/", None),
            ("/A/", None),
            ("/b/a/", None),
        ):
            self.assertEqual(prefix, self.found(path), path)

    def test_root_prefix_matches_all_other_paths(self):
        for path, prefix in (("/", "/"), ("/x/y", "/"), ("/a/x", "/a/")):
            self.assertEqual(prefix, self.found(path, HOST, "/", "/a/"))

    def test_query_is_no_part_of_the_path(self):
        self.assertEqual("/a/", self.found("/a/x?next=/a/b/c"))
        self.assertIsNone(self.found("/a?next=/a/b/c"))

    def test_percent_encoded_letters_are_not_decoded(self):
        self.assertEqual("/a/", self.found("/a/%62/x"))
        self.assertIsNone(self.found("/%61/x"))
        self.assertIsNone(self.found("/a%2Fb/"))

    def test_forms_of_a_host(self):
        for host in (
            HOST,
            HOST.upper(),
            f"{HOST}:8548",
            f" {HOST} ",
            f"{HOST}.",
            f"{HOST}.:8548",
        ):
            self.assertEqual("/a/b/", self.found("/a/b/c", host), host)
        for host in ("", ".", f"x.{HOST}", f"{HOST}.x"):
            self.assertIsNone(self.found("/a/b/c", host), host)

    def test_host_that_is_listed_twice(self):
        """Guards against a second entry of a host that replaces the first."""
        first, second = route("/a/"), route("/b/")
        table = front_fakes.config(first, second)
        self.assertIs(first, table.find(HOST, "/a/x"))
        self.assertIs(second, table.find(HOST, "/b/x"))


class HostNameTest(unittest.TestCase):
    """Guards against hosts that don't match the form that callers write."""

    def test_forms(self):
        for value in ("One.example", "one.example.", "one.example:8548"):
            self.assertEqual("one.example", http_request.host_name(value))
        self.assertEqual("[::1]", http_request.host_name("[::1]:8548"))
