"""Tests of load profiles, mixes and results."""

import json
import pathlib
import random
import tempfile
import unittest

import rich.console
from typer import testing

from fuchsiacourse import arrival_profile
from fuchsiacourse import load
from fuchsiacourse import load_mix
from fuchsiacourse import load_result
from fuchsiacourse import service_file
from tests import test_service_file


class LoadTest(unittest.TestCase):
    """Rates, shares and results of a load run must match its options."""

    def test_crest_is_tenfold_in_the_middle(self):
        """Guards against a crest that is missing or at another time."""
        profile = arrival_profile.CrestProfile(rate_per_s=5, length_s=10)
        self.assertEqual(
            [5, 50, 5], [profile.rate(at) for at in (1.0, 5.0, 9.0)]
        )

    def test_swing_stays_within_its_bounds(self):
        """Guards against rates below or above the bounds of the swing."""
        profile = arrival_profile.SwingProfile(rate_per_s=100, length_s=60)
        rates = [profile.rate(at / 10) for at in range(600)]
        self.assertAlmostEqual(10.0, min(rates), delta=0.1)
        self.assertAlmostEqual(100.0, max(rates), delta=0.1)

    def test_mix_has_four_short_in_five(self):
        """Guards against a share of short requests that is not 80 %."""
        content = test_service_file.valid()
        content["kinds"].append(
            dict(
                content["kinds"][0],
                name="order",
                method="POST",
                length="long",
            )
        )
        parsed = service_file.ServiceFile.model_validate(content)
        mix = load_mix.LoadMix(services=[parsed])
        rng = random.Random(3)
        names = [mix.choose(rng).name for _ in range(2000)]
        self.assertAlmostEqual(
            0.8, names.count("larder/lookup") / 2000, delta=0.03
        )

    def test_compare_prints_the_change(self):
        """Guards against swapping the two files of a comparison."""
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for name, latency_s in (("old", 0.1), ("new", 0.05)):
                result = load_result.LoadResult()
                result.kind("larder/lookup").add(
                    latency_s=latency_s, verdict="ran", is_good=True, worth=1
                )
                path = pathlib.Path(folder, f"{name}.json")
                path.write_text(result.to_json())
                paths.append(str(path))
            outcome = testing.CliRunner().invoke(
                load.app, ["compare", *paths], env={"COLUMNS": "120"}
            )
            self.assertEqual(0, outcome.exit_code, outcome.output)
            self.assertIn("-50.0%", outcome.output)
            self.assertEqual(1.0, json.loads(result.to_json())["worth_ratio"])

    def test_statuses_and_times_to_return_are_reported(self):
        """Guards against 503 answers that a run doesn't show."""
        result = load_result.LoadResult()
        for status, retry_after_s in ((200, None), (503, 1.5), (503, 0.5)):
            result.kind("larder/lookup").add(
                latency_s=0.1,
                verdict="not-run",
                is_good=False,
                worth=1,
                status=status,
                retry_after_s=retry_after_s,
            )
        found = json.loads(result.to_json())["kinds"]["larder/lookup"]
        self.assertEqual({"200": 1, "503": 2}, found["statuses"])
        self.assertEqual(1.5, found["longest_retry_after_s"])
        console = rich.console.Console(width=160)
        with console.capture() as printed:
            console.print(result.table())
        self.assertIn("200 1, 503 2", printed.get())

    def test_unknown_profile_is_rejected(self):
        """Guards against falling back to another profile."""
        outcome = testing.CliRunner().invoke(
            load.app,
            ["run", "--services", ".", "--address", "x", "--profile", "up"],
        )
        self.assertEqual(load.EXIT_BAD_INPUT, outcome.exit_code)
        self.assertIn("unknown profile up", outcome.output)
