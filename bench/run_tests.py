"""Runs the tests and prints a last line ``N passed, N failed``."""

from __future__ import annotations

import sys

import nose2

from bench import test_selection


def main() -> int:
    """Runs the tests and returns 0 if some passed and none failed, else 1."""
    program = nose2.discover(
        argv=["nose2", "--config", "unittest.cfg", *sys.argv[1:]],
        exit=False,
    )
    outcomes = next(
        plugin
        for plugin in program.session.plugins
        if isinstance(plugin, test_selection.TestSelection)
    )
    sys.stderr.flush()
    print(f"{outcomes.passed} passed, {outcomes.failed} failed")
    return 0 if outcomes.passed and not outcomes.failed else 1


if __name__ == "__main__":
    sys.exit(main())
