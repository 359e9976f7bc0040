"""Tests of the checks of answers."""

import dataclasses
import unittest

from bench import dispatch_world
from fuchsiacourse import answer_checks
from fuchsiacourse import service_file
from fuchsiacourse import target_client
from fuchsiacourse import target_row

Outcome = target_row.Outcome


class AnswerChecksTest(unittest.TestCase):
    """Only complete and valid answers to the request are usable."""

    def classify(self, body=b'{"a": 1}', *, checks=None, method="GET", **use):
        headers = use.pop(
            "headers",
            [
                ("content-length", str(len(body))),
                ("Content-Type", "application/json; charset=utf-8"),
            ],
        )
        options = {"request_id": "a-1", "status": 200, **use}
        kind = dataclasses.replace(
            dispatch_world.LOOKUP,
            method=method,
            answer_checks=checks or service_file.AnswerChecks(),
        )
        return answer_checks.classify(
            target_client.TargetAnswer(headers=headers, body=body, **options),
            request_id="a-1",
            kind=kind,
            shed_statuses=[429, 503],
        )[0]

    def test_statuses(self):
        """Guards against confusing shed requests and errors."""
        for status, outcome in (
            (200, Outcome.OK),
            (404, Outcome.OK),
            (429, Outcome.SHED),
            (503, Outcome.SHED),
            (500, Outcome.ERROR_STATUS),
        ):
            self.assertIs(outcome, self.classify(status=status))

    def test_another_requests_answer_is_bad_whatever_its_status(self):
        """Guards against using the status of another request's answer."""
        for status in (200, 503):
            outcome = self.classify(request_id="a-2", status=status)
            self.assertIs(Outcome.BAD_ANSWER, outcome)

    def test_length_must_match(self):
        """Guards against a truncated body and a false alarm for HEAD."""
        headers = [("Content-Length", "9")]
        self.assertIs(Outcome.BAD_ANSWER, self.classify(headers=headers))
        self.assertIs(
            Outcome.OK, self.classify(b"", headers=headers, method="HEAD")
        )
        self.assertIs(
            Outcome.OK, self.classify(b"", headers=headers, status=304)
        )

    def test_checks_of_the_service_file(self):
        """Guards against returning answers that operators exclude."""
        for checks, body, outcome in (
            ({"json_fields": ["a"]}, b'{"a": 1}', Outcome.OK),
            ({"json_fields": ["b"]}, b'{"a": 1}', Outcome.BAD_ANSWER),
            ({"json_fields": ["a"]}, b"[1]", Outcome.BAD_ANSWER),
            ({"json_fields": ["a"]}, b'{"a"', Outcome.BAD_ANSWER),
            ({"min_bytes": 9}, b'{"a": 1}', Outcome.BAD_ANSWER),
            ({"content_type": "Application/JSON"}, b"{}", Outcome.OK),
            ({"content_type": "text/html"}, b"{}", Outcome.BAD_ANSWER),
        ):
            with self.subTest(checks=checks, body=body):
                parsed = service_file.AnswerChecks(**checks)
                self.assertIs(outcome, self.classify(body, checks=parsed))
