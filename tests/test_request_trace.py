"""Tests of reconstructing a request from the logs."""

import tempfile
import unittest

from typer import testing

from fuchsiacourse import ctl
from fuchsiacourse import request_trace

LINES = """\
timestamp='1' level='info' event='store_lost' host='f1' prefix='servers/'
timestamp='2' level='info' event='target_suspected' host='f1' target='t1'
timestamp='2' level='info' event='target_suspected' host='f2' target='t1'
timestamp='3' level='info' event='request_sent' host='f1' request_id='q1' \
target='t1' sickness=0.7
timestamp='3' level='info' event='request_sent' host='f1' request_id='q2' \
target='t1' sickness=0.7
timestamp='4' level='info' event='sending_ended' host='f1' request_id='q1' \
outcome='LOST' detail='it\\'s gone'
timestamp='5' level='info' event='request_answered' host='f1' \
request_id='q1' status=502
""".splitlines()


class RequestTraceTest(unittest.TestCase):
    """A trace must show causes and no events of other requests."""

    def test_trace_shows_causes_and_outcome(self):
        """Guards against missing causes and events of other hosts."""
        trace = request_trace.RequestTrace(request_id="q1")
        trace.read(LINES)
        lines = trace.lines()
        self.assertEqual(5, len(lines))
        self.assertIn("store_lost", lines[0])
        self.assertIn("target_suspected", lines[1])
        self.assertIn("host=f1", lines[1])
        self.assertIn("outcome=LOST", lines[3])
        self.assertIn("status=502", lines[4])

    def test_unknown_request(self):
        """Guards against an empty output for a request id not found."""
        trace = request_trace.RequestTrace(request_id="q9")
        trace.read(LINES)
        self.assertEqual(["no line names request q9"], trace.lines())

    def test_command(self):
        """Guards against a ctl command that doesn't read its log files."""
        with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
            log.write("\n".join(LINES))
            log.flush()
            result = testing.CliRunner().invoke(
                ctl.app, ["request", "q1", "--log", log.name]
            )
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn("status=502", result.output)

    def test_quoted_values(self):
        """Guards against values cut off at an escaped quote or a space."""
        fields = request_trace.parse(LINES[5])
        self.assertEqual("it\\'s gone", fields["detail"])
