"""Tests that a server which names a limit on the rate of its requests gets no
more than that from all gateways together."""

import threading
import time
import unittest

from process.platform_fleet import Fleet, new_id
from process.platform_stand_in import Engine, PlainServer
from process.platform_test import FleetTestCase

# The limit holds for the fleet 3 s after the server first named it.
FLEET_SECONDS = 3
WINDOW_SECONDS = 4
LIMIT = 1.0


def allowed(limit):
    """Returns how many requests a server may get within the window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


class Limited:
    """A server that names `limit` in its answers, where that is set."""

    limit = None
    first_named = None

    def seal(self, request):
        """Returns the last header of each answer, with the limit behind it."""
        name, value = super().seal(request)
        if self.limit is None:
            return name, value
        if self.first_named is None:
            self.first_named = time.monotonic()
        return name, f"{value}\r\nServer-Limit: {self.limit}"


class LimitedEngine(Limited, Engine):
    events = 2


class LimitedPlainServer(Limited, PlainServer):
    pass


class LimitFleet(Fleet):
    """A fleet whose engines and plain servers can name limits."""

    ENGINES = 4

    def _make_servers(self, stages):
        super()._make_servers(stages)
        for server in self.engines + self.plain:
            server.close()
        ip = f"{self.net}.200"
        self.engines = [LimitedEngine(ip, "models", f"e{i}", "ab"[i % 2])
                        for i in range(self.ENGINES)]
        self.plain = [LimitedPlainServer(ip, "shop", f"p{i}", "ab"[i % 2])
                      for i in range(3)]
        self.list.servers = self.engines + self.plain + self.stages


class LimitTestCase(FleetTestCase):
    fleet_class = LimitFleet
    gateways = 3

    def setUp(self):
        super().setUp()
        for server in self.fleet.engines + self.fleet.plain:
            server.limit, server.first_named = None, None
            server.requests.clear()

    def send(self, method, path, until, per_second, **headers):
        """Sends requests to the gateways in turn until the time is over. Returns
        the answers."""
        answers, threads, number = [], [], 0
        while time.monotonic() < until:
            thread = threading.Thread(
                target=lambda number=number: answers.append(
                    self.fleet.ask(method, path, b"", new_id(),
                                   number % self.gateways, **headers)))
            thread.start()
            threads.append(thread)
            number += 1
            time.sleep(1 / per_second)
        for thread in threads:
            thread.join()
        return answers

    def most_in_a_window(self, server):
        """Returns the most requests that the server got within the window, from
        when the limit holds for the whole fleet."""
        begin = server.first_named + FLEET_SECONDS
        times = sorted(request.arrived for request in list(server.requests)
                       if request.arrived >= begin)
        return max((sum(first <= when < first + WINDOW_SECONDS
                        for when in times) for first in times), default=0)

    def check(self, servers, method, path, per_second):
        self.send(method, path, time.monotonic() + 1, per_second)
        # The one that gets most: engines that hold the prompt are preferred.
        limited = max(servers, key=lambda server: len(server.requests))
        limited.limit = LIMIT
        answers = self.send(method, path, time.monotonic() + 12, per_second)
        most = self.most_in_a_window(limited)
        print(f"{path}: {most} requests in {WINDOW_SECONDS} s at most, "
              f"{allowed(LIMIT)} allowed", flush=True)
        self.assertLessEqual(most, allowed(LIMIT))
        # It still takes some, and the others take the rest.
        self.assertGreaterEqual(most, 1)
        self.assertEqual([answer.status for answer in answers
                          if answer.status != 200], [])

        # Without the limit it takes its part again.
        limited.limit = None
        time.sleep(0.5)
        limited.requests.clear()
        self.send(method, path, time.monotonic() + 8, per_second)
        last = time.monotonic() - 3
        again = sum(request.arrived > last
                    for request in list(limited.requests))
        self.assertGreater(again, 3 * LIMIT)


class EngineTest(LimitTestCase):

    def test_engine_that_names_a_limit(self):
        self.check(self.fleet.engines, "POST", "/chat/x", 20)


if __name__ == "__main__":
    unittest.main()
