"""Tests that a draining backend server receives no new work."""

import time
import unittest
from collections import Counter

from process.cluster_test_case import ClusterTestCase
from process.control_test import Load
from process.processes import wait_until

# Time of load after the server begins to drain; the checker's limit is 3 s.
WATCHED_SECONDS = 4.5
# Shorter than the leases by which gateways continue without control.
CONTROL_SILENT_SECONDS = 1.5
# Number of calls after which the busiest engine is chosen.
SETTLED_CALLS = 10


class LeavingTest(ClusterTestCase):
    controls = 3
    gateways = 2

    def busiest_engine(self):
        """Returns the engine that ran most calls, once there are enough."""
        counts = Counter(run["server"] for run in self.runs()
                         if run["server"].startswith("t-engine-"))
        return (counts.total() >= SETTLED_CALLS and
                counts.most_common(1)[0][0])

    def leave(self, how, control_silent_seconds=0):
        """Sends requests while the busiest engine drains. Returns the times of
        its later calls, in seconds since it began to drain."""
        with Load(self) as load:
            server = wait_until(self.busiest_engine, "engine in use")
            if control_silent_seconds:
                for control in self.cluster.controls:
                    control.pause()
            self.cluster.fault(server, leave=how)
            end = time.monotonic() + WATCHED_SECONDS
            time.sleep(control_silent_seconds)
            for control in self.cluster.controls:
                control.resume()
            wait_until(lambda: time.monotonic() > end, "load after leaving")
        self.assert_whole(load.calls)
        late = [run["left_for"] for run in self.cluster.runs()
                if run["server"] == server and run["left_for"] >= 0]
        self.figure(how=how, requests=len(load.calls), calls_after=len(late),
                    last_call_s=round(max(late, default=0), 2))
        return late

    def test_platform_marks_it(self):
        self.leave("mark")

    def test_server_says_so_itself(self):
        self.leave("drain_unlisted")

    # Guards against a gateway that sends calls to a server whose replies say
    # that it drains, until control reports the same.
    def test_server_says_so_itself_while_control_is_silent(self):
        late = self.leave("drain_unlisted", CONTROL_SILENT_SECONDS)
        # At most one call per gateway: the one whose reply reports the drain.
        # Later ones don't count: control may report a new incarnation.
        silent = [left_for for left_for in late
                  if left_for < CONTROL_SILENT_SECONDS]
        self.assertLessEqual(len(silent), self.gateways)


if __name__ == "__main__":
    unittest.main()
