"""Tests of tools/regress with a fake bench that only writes a journal entry."""
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

REGRESS = pathlib.Path(__file__).resolve().parents[2] / "tools" / "regress"

BENCH = """#!/usr/bin/env python3
import pathlib, sys
site = pathlib.Path(sys.argv[2]).read_text(encoding="utf-8")
if site == "none":
    sys.exit(1)
pathlib.Path("journal/new.json").write_text(site, encoding="utf-8")
"""


def journal_entry(score, rules=None, gate=True):
    """JSON text of a score run of one site with one day."""
    day = {"name": "d-1", "G": score, "rules": rules or {}, "fault": None,
           "gate": gate}
    return json.dumps({"cmd": "score", "site": "s", "argv": [], "days": [day]})


class Regress(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.root = pathlib.Path(self.folder.name)
        (self.root / "journal").mkdir()
        (self.root / "journal" / "old.json").write_text(
            journal_entry(0.8), encoding="utf-8")
        bench = self.root / "bench"
        bench.write_text(BENCH, encoding="utf-8")
        bench.chmod(0o755)
        for command in (["init", "-q"], ["add", "journal"]):
            subprocess.run(["git", *command], cwd=self.root, check=True)

    def tearDown(self):
        self.folder.cleanup()

    def run_regress(self, content):
        (self.root / "site").write_text(content, encoding="utf-8")
        return subprocess.run(
            [sys.executable, REGRESS, "./bench", "1", "why", "site"],
            cwd=self.root, capture_output=True, text=True, check=False,
            env=dict(os.environ))

    def test_change_within_noise_passes(self):
        ended = self.run_regress(journal_entry(0.78))
        self.assertEqual(ended.returncode, 0, ended.stderr)
        self.assertIn("-0.020", ended.stdout)

    def test_score_loss_fails(self):
        ended = self.run_regress(journal_entry(0.76))
        self.assertEqual(ended.returncode, 1)
        self.assertIn("LOST", ended.stdout)

    def test_broken_rule_fails(self):
        ended = self.run_regress(journal_entry(0.9, rules={"FLOW": 1}))
        self.assertEqual(ended.returncode, 1)
        self.assertIn("BROKEN", ended.stdout)

    def test_failed_gate_fails(self):
        ended = self.run_regress(journal_entry(0.9, gate=False))
        self.assertEqual(ended.returncode, 1)

    def test_failing_bench_fails(self):
        ended = self.run_regress("none")
        self.assertEqual(ended.returncode, 1)
        self.assertIn("no score", ended.stdout)


if __name__ == "__main__":
    unittest.main()
