"""Tests that a request whose content ends every engine that runs it is stopped,
on the product's own caller interface."""

import threading
import time

import unittest

from process.cluster_test_case import ClusterTestCase

TEXT = "ends every engine"
RECOGNITION_SECONDS = 3
MAX_LATER_RUNS = 3
DOWN_SECONDS = 1.0
# Streams last long enough for their engine to be stopped before they end.
TOKEN_MICROSECONDS = 200_000


class CrashingRequestTest(ClusterTestCase):
    # The bound on retries must not be what stops the request.
    gateway_settings = {"retry_budget": 1}

    def ask_again(self, number):
        """Sends the request once more, to the next gateway."""
        return self.ask(TEXT, stream=True,
                        gateway=number % len(self.cluster.gateways))

    def stop_engines_that_run_it(self):
        """Stops each engine at each run of the request until the test is over,
        and starts it again."""
        seen = 0
        while not self.over.is_set():
            runs = self.runs("t-engine", TEXT)
            for run in runs[seen:]:
                self.crashes.append(time.monotonic())
                self.cluster.fault(run["server"], stop=True)
                threading.Timer(DOWN_SECONDS, self.cluster.fault,
                                (run["server"],), {"start": True}).start()
            seen = len(runs)
            time.sleep(0.02)

    def test_request_that_ends_engines_is_stopped(self):
        self.cluster.fault("t-engine", pace_us=TOKEN_MICROSECONDS)
        self.over = threading.Event()
        self.crashes = []
        watcher = threading.Thread(target=self.stop_engines_that_run_it)
        watcher.start()
        until = time.monotonic() + 10
        answers = []
        while time.monotonic() < until:
            answers.append(self.ask_again(len(answers)))
            time.sleep(0.3)
        self.over.set()
        watcher.join()
        self.assertGreaterEqual(len(self.crashes), 3, "too few to test")
        late = self.crashes[2] + RECOGNITION_SECONDS
        later = sum(when > late for when in self.crashes)
        print(f"{len(self.crashes)} engines ended, {later} of them later than "
              f"{RECOGNITION_SECONDS} s after the third", flush=True)
        self.assertLessEqual(later, MAX_LATER_RUNS)
        # Refused as what it is, before any of it runs.
        self.assertEqual((answers[-1].status, answers[-1].reason,
                          answers[-1].verdict),
                         (503, "crashes_servers", "not_run"))
        # Other requests are still served.
        self.assert_whole([self.ask("ends no engine", gateway=i) for i in
                           range(len(self.cluster.gateways))])


class CrashingRequestInFleetTest(CrashingRequestTest):
    """The caller sends the request to one gateway after the other."""

    controls = 3
    gateways = 3


if __name__ == "__main__":
    unittest.main()
