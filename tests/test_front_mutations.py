"""Tests of the mutation testing of the front's safeguards."""

import pathlib
import shutil
import tempfile
import unittest

from bench import front_mutations


class FrontMutationsTest(unittest.TestCase):
    """Guards against mutations that no longer apply to the source."""

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

    def test_each_mutation_names_an_existing_test(self):
        for mutation in front_mutations.MUTATIONS:
            module = mutation.test.split(".")[1]
            self.assertTrue(pathlib.Path(f"tests/{module}.py").exists())

    def test_mutation_without_its_source_raises(self):
        mutation = front_mutations.Mutation(
            rule="x",
            module="route.py",
            before="no such source",
            after="",
            test="tests.test_placement",
        )
        with self.assertRaises(ValueError):
            mutation.apply(pathlib.Path("."))
