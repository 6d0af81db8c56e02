"""Tests that servers which refuse with Retry-After, or which say that they leave,
get no more requests than they want from a gateway."""

import time
import unittest

from process.platform_fleet import Fleet, ask_at_intervals, new_id
from process.platform_stand_in import Engine, PlainServer
from process.platform_test import FleetTestCase
from process.processes import wait_until

BACKOFF_SECONDS = 2.0
# Requests that were sent before the refusal arrived come within this time.
GRACE_SECONDS = 0.5
MAX_ARRIVALS = 2
DRAIN_SECONDS = 3.0


def arrivals_in_backoff(server):
    """Returns the most requests that the server got from its only caller in the
    time between GRACE_SECONDS after a refusal and the end of its Retry-After."""
    return max((sum(refused.arrived + GRACE_SECONDS < request.arrived <
                    refused.arrived + BACKOFF_SECONDS
                    for request in server.requests)
                for refused in server.refused), default=0)


class BackoffFleet(Fleet):
    """A fleet with more engines and plain servers."""

    def _make_servers(self, stages):
        super()._make_servers(stages)
        ip = f"{self.net}.200"
        self.engines += [Engine(ip, "models", f"e{i}", "ab"[i % 2])
                         for i in (2, 3)]
        self.plain += [PlainServer(ip, "shop", f"p{i}", "ab"[i % 2])
                       for i in (2, 3)]
        self.list.servers = self.engines + self.plain + self.stages


class ServerBackoffsTest(FleetTestCase):
    """All requests go to one gateway. The placement owner of the engines and
    the owner of the stage pool may be the other one."""

    fleet_class = BackoffFleet
    stages = 3

    def tearDown(self):
        for server in self.servers():
            server.retry_after = None
            server.extra_headers = ()
        # Until then servers may still be left out.
        time.sleep(BACKOFF_SECONDS)

    def servers(self):
        return self.fleet.engines + self.fleet.plain + self.fleet.stages

    def refuse(self, servers, text=f"{BACKOFF_SECONDS:g}"):
        for server in servers:
            server.requests.clear()
            server.refused.clear()
            server.retry_after = text

    def send(self, method, path, seconds, gap=0.03):
        """Sends requests, each without waiting for the one before. Returns
        (seconds that it took, response) for each."""
        answers = []

        def ask(_):
            begun = time.monotonic()
            answer = self.fleet.ask(method, path, b"x", new_id())
            answers.append((time.monotonic() - begun, answer))

        ask_at_intervals(ask, time.monotonic() + seconds, gap)
        return answers

    def check_backoffs(self, servers):
        counts = {server.id: arrivals_in_backoff(server) for server in servers}
        refused = {server.id: len(server.refused) for server in servers}
        print(f"refused {refused}, most arrivals in a backoff {counts}",
              flush=True)
        # A gateway need not call each server that would refuse.
        self.assertTrue(any(refused.values()), "no refusal to test")
        self.assertLessEqual(max(counts.values()), MAX_ARRIVALS)

    def test_engines(self):
        refusing = self.fleet.engines[:2]
        self.refuse(refusing)
        answers = self.send("POST", "/chat/x", 5)
        self.check_backoffs(refusing)
        self.assertEqual([answer.status for _, answer in answers
                          if answer.status != 200 or not answer.whole], [])

    def test_plain_servers(self):
        # A request is given up at its third refusal.
        refusing = self.fleet.plain[:2]
        self.refuse(refusing)
        answers = self.send("GET", "/look/x", 5)
        self.check_backoffs(refusing)
        self.assertEqual([answer.status for _, answer in answers
                          if answer.status != 200 or not answer.whole], [])

    def test_stage_servers(self):
        refusing = self.fleet.stages[:2]
        self.refuse(refusing)
        answers = self.send("POST", "/chat/x", 5, 0.06)
        self.check_backoffs(refusing)
        self.assertEqual([answer.status for _, answer in answers
                          if answer.status != 200 or not answer.whole], [])

    def check_refused_while_all_in_backoff(self, method, path, servers):
        self.refuse(servers)
        self.send(method, path, 0.6)
        answers = self.send(method, path, 1.0, 0.1)
        self.assertTrue(answers)
        for took, answer in answers:
            self.assertEqual(answer.status, 503, answer.body)
            self.assertIn(b"not_run", answer.body)
            self.assertLess(took, 0.3)
            pause = float(answer.headers["retry-after"])
            self.assertGreater(pause, 0)
            self.assertLessEqual(pause, BACKOFF_SECONDS)
        self.check_backoffs(servers)
        for server in servers:
            server.retry_after = None
        wait_until(lambda: self.fleet.ask(method, path, b"x",
                                          new_id()).status == 200,
                   "a request served after the backoff")

    def test_all_plain_servers(self):
        self.check_refused_while_all_in_backoff("GET", "/look/x", self.fleet.plain)

    def test_all_engines(self):
        self.check_refused_while_all_in_backoff("POST", "/chat/x",
                                          self.fleet.engines)


class LeavingServersTest(FleetTestCase):
    """Servers say that they leave, while the list calls them ready."""

    fleet_class = BackoffFleet

    def check_left(self, method, path, leaving):
        for server in leaving:
            server.extra_headers = [("Server-Leaving", "1")]
        wait_until(lambda: self.fleet.ask(method, path, b"x",
                                          new_id()).status == 200 and
                   all(server.runs for server in leaving),
                   "a response of each that leaves")
        said = time.monotonic()
        while time.monotonic() < said + DRAIN_SECONDS:
            self.fleet.ask(method, path, b"x", new_id())
            time.sleep(0.02)
        begun = time.monotonic()
        while time.monotonic() < begun + 1:
            self.assertEqual(self.fleet.ask(method, path, b"x",
                                            new_id()).status, 200)
        late = [server.id for server in leaving for request in server.requests
                if request.arrived > begun]
        self.assertEqual(late, [])

    def test_engines(self):
        # The one that the prompt's requests go to.
        self.fleet.ask("POST", "/chat/x", b"x", new_id())
        leaving = [engine for engine in self.fleet.engines if engine.runs]
        self.check_left("POST", "/chat/x", leaving)

    def test_plain_servers(self):
        self.check_left("GET", "/look/x", self.fleet.plain[:2])


if __name__ == "__main__":
    unittest.main()
