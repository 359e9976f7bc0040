"""Tests of the entry program's command line."""

import json
import pathlib
import tempfile
import unittest
from unittest import mock

from typer import testing

from fuchsiacourse import entry


class EntryTest(unittest.TestCase):
    """Invalid settings must be reported, and the entry must not start."""

    def output_for(self, content):
        """Returns the output for invalid settings; None means no file."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "entry.json"
            if content is not None:
                path.write_text(json.dumps(content), encoding="utf-8")
            with mock.patch.object(
                entry, "EntryProgram", autospec=True
            ) as program:
                outcome = testing.CliRunner().invoke(
                    entry.app, ["--settings", str(path)]
                )
        self.assertEqual(2, outcome.exit_code, outcome.output)
        program.assert_not_called()
        self.assertIn("entry.json", outcome.output)
        return outcome.output

    def test_invalid_fields_are_reported(self):
        """Guards against an entry that starts with invalid settings."""
        output = self.output_for({"program": "entry", "ledger_max_records": 0})
        self.assertIn("ledger_max_records: Input should be", output)
        self.assertIn("http_address: Field required", output)

    def test_missing_file_is_reported(self):
        """Guards against a stack trace for a missing settings file."""
        self.assertIn("No such file", self.output_for(None))
