"""A backend server that is leaving receives no new work."""

import time
import unittest

from process.cluster_test_case import ClusterTestCase
from process.control_test import Load
from process.processes import wait_until

# Time of load after the platform's mark; the checker's bound is 3 s.
WATCHED_SECONDS = 4.5


class LeavingTest(ClusterTestCase):
    controls = 3
    gateways = 2

    def leave(self, server, how):
        """Loads the fleet while the server leaves; returns what it got."""
        with Load(self) as load:
            wait_until(lambda: [run for run in self.runs()
                                if run["server"] == server], "in use")
            self.cluster.fault(server, leave=how)
            end = time.monotonic() + WATCHED_SECONDS
            wait_until(lambda: time.monotonic() > end, "load after leaving")
        self.assert_whole(load.calls)
        late = [run["left_for"] for run in self.cluster.runs()
                if run["server"] == server and run["left_for"] >= 0]
        self.figure(how=how, requests=len(load.calls), calls_after=len(late),
                    last_call_s=round(max(late, default=0), 2))

    def test_platform_marks_it(self):
        self.leave("t-engine-1", "mark")

    def test_server_says_so_itself(self):
        self.leave("t-engine-2", "drain_unlisted")


if __name__ == "__main__":
    unittest.main()
