"""Base class of the tests that run a cluster of processes."""

import json
import os
import sys
import unittest

from process import caller
from checker import checker, content
from process import deployments
from process.cluster import Cluster

TOKENS = deployments.TOKENS
LOG_CHARACTERS = 40000
FIGURES = os.environ.get("CITRONLANE_FIGURES")


class ClusterTestCase(unittest.TestCase):
    """One cluster for all tests of a class; faults are reset before each."""

    incarnation = 1
    controls = 0
    gateways = 1
    gateway_settings = {}
    control_settings = {}
    maxDiff = None

    @classmethod
    def setUpClass(cls):
        cls.cluster = Cluster([deployments.small()], controls=cls.controls,
                              gateways=cls.gateways,
                              gateway_settings=cls.gateway_settings,
                              control_settings=cls.control_settings)
        cls.addClassCleanup(cls.cluster.close)

    def run(self, result=None):
        """Prints the logs of all processes when a test fails."""
        result = result or self.defaultTestResult()
        before = len(result.failures) + len(result.errors)
        super().run(result)
        if len(result.failures) + len(result.errors) > before:
            for process in (self.cluster.gateways + self.cluster.controls +
                            [self.cluster.fakes]):
                print(f"--- {process.name}\n{process.log()[-LOG_CHARACTERS:]}",
                      file=sys.stderr, flush=True)
        return result

    def setUp(self):
        # A draining server becomes usable again only as a new incarnation.
        ClusterTestCase.incarnation += 1
        self.cluster.fault("*", reset=True, start=True, leave="no",
                           incarnation=ClusterTestCase.incarnation)
        self.cluster.clear_runs()

    def ask(self, text, gateway=0, **options):
        return self.cluster.caller(gateway).chat("t-ask", text, TOKENS,
                                                 **options)

    def order(self, text, key, gateway=0, **options):
        return self.cluster.caller(gateway).chat(
            "t-order", text, TOKENS, once_pool="t-engine",
            idempotency_key=key, **options)

    def ask_at_once(self, count, prefix, **options):
        """Sends `count` requests concurrently; returns their calls."""
        background = caller.Background()
        for i in range(count):
            background.start(self.ask, f"{prefix} {i}", **options)
        return background.join()

    def runs(self, pool=None, text=None):
        """Returns the calls that ran, of one pool and text if given."""
        digest = text and content.text_digest(text)
        return [run for run in self.cluster.runs() if run["ran"] and
                pool in (None, run["pool"]) and digest in (None, run["text"])]

    def assert_clean(self, calls, versions=()):
        """Asserts that no invariant is violated."""
        faults = checker.check(calls, self.cluster.runs(), versions)
        self.assertEqual(checker.total(faults), 0, checker.report(faults))

    def assert_whole(self, calls):
        """Asserts that every answer is complete and no invariant violated."""
        bad = [(c.text, c.status, c.reason, c.verdict, c.answer)
               for c in calls if not c.whole]
        self.assertEqual(bad, [])
        self.assert_clean(calls)

    def figure(self, **figures):
        """Records measured figures for scripts/prove.sh."""
        if FIGURES:
            with open(FIGURES, "a", encoding="utf-8") as file:
                file.write(json.dumps({"test": self.id(), **figures}) + "\n")
