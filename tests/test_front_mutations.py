"""Tests of the run that switches safeguards of the front off."""

import pathlib
import shutil
import tempfile
import unittest

from bench import front_mutations


class FrontMutationsTest(unittest.TestCase):
    """A mutation that no longer applies proves nothing."""

    def test_each_mutation_changes_the_source(self):
        folder = pathlib.Path("fuchsiacourse/front")
        for mutation in front_mutations.MUTATIONS:
            with (
                self.subTest(rule=mutation.rule),
                tempfile.TemporaryDirectory() as root,
            ):
                target = pathlib.Path(root) / folder
                target.mkdir(parents=True)
                shutil.copy(folder / mutation.module, target)
                mutation.apply(pathlib.Path(root))
                changed = (target / mutation.module).read_text("utf-8")
                compile(changed, mutation.module, "exec")
                self.assertNotEqual(
                    (folder / mutation.module).read_text("utf-8"), changed
                )

    def test_each_mutation_names_a_test(self):
        for mutation in front_mutations.MUTATIONS:
            module = mutation.test.split(".")[1]
            self.assertTrue(pathlib.Path(f"tests/{module}.py").exists())

    def test_mutation_that_does_not_apply_is_an_error(self):
        mutation = front_mutations.Mutation(
            rule="x",
            module="route.py",
            before="no such source",
            after="",
            test="tests.test_placement",
        )
        with self.assertRaises(ValueError):
            mutation.apply(pathlib.Path("."))
