"""Checks that the operations page documents a front's logs and metrics."""

import ast
import pathlib
import re
import unittest

from fuchsiacourse.front import front_program
from fuchsiacourse.front import front_settings

FOLDER = pathlib.Path(front_program.__file__).parent
PAGE = FOLDER.parent.parent / "docs" / "OPERATIONS.md"


class OperationsPageTest(unittest.TestCase):
    """Guards against events and metrics that the page doesn't document."""

    def setUp(self) -> None:
        page = PAGE.read_text(encoding="utf-8")
        self.named = set(re.findall(r"`([a-z_]+)(?:\{[^`]*)?`", page))

    def test_events_are_documented(self):
        found = set()
        for path in FOLDER.glob("*.py"):
            for call in _calls(path, ("event", "warning")):
                found.update(_strings(call.args[1]))
            for call in _calls(path, ("error",)):
                found.update(_strings(call.args[0]))
        self.assertGreater(len(found), 15)
        self.assertEqual(set(), found - self.named)

    def test_metrics_are_documented(self):
        found = set()
        for path in FOLDER.glob("*.py"):
            text = path.read_text(encoding="utf-8")
            found.update(re.findall(r'"(front_[a-z_]+)"', text))
        found -= {"front_changed", *front_settings.FrontSettings.__slots__}
        self.assertGreater(len(found), 10)
        self.assertEqual(set(), found - self.named)


def _calls(path: pathlib.Path, names: tuple[str, ...]) -> list[ast.Call]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return [
        node
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in names
        and node.args
        and not (len(node.args) < 2 and names[0] == "event")
    ]


def _strings(node: ast.expr) -> set[str]:
    return {
        item.value
        for item in ast.walk(node)
        if isinstance(item, ast.Constant) and isinstance(item.value, str)
    }
