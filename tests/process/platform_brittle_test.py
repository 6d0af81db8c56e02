"""Tests that servers which fall over when they have to refuse many calls are
not made to, and that their service goes on as far as they have room."""

import socket
import threading
import time
import unittest

from process.platform_fleet import Fleet, new_id
from process.platform_limits_test import LimitTestCase
from process.platform_stand_in import Engine, PlainServer, StageServer

# A brittle server lets fewer calls wait from this long after it says so.
NOTICE_SECONDS = 3
DOWN_SECONDS = 2


class Brittle:
    """A server with `slots` calls in progress and `queue` that wait. With
    `borne` set it names that in its replies, lets `brittle_queue` wait from
    NOTICE_SECONDS later, and falls over when it refuses more than `borne` calls
    in a second; it is back after DOWN_SECONDS, with another id."""

    slots = 2
    queue = 8
    brittle_queue = 0

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.room = threading.Condition()
        self.running = self.waiting = 0
        self.borne = None
        self.brittle_since = None
        self.refused = []
        self.refusals = 0
        self.falls = []
        self.served = []
        self.first_id = self.id

    def set_borne(self, borne):
        with self.room:
            self.borne, self.brittle_since = borne, time.monotonic()
            self.refused.clear()
            self.refusals = 0
            self.falls.clear()
            self.served.clear()

    def entry(self):
        return {**super().entry(), "slots": self.slots}

    def seal(self, request):
        """Returns the last header of each answer, with `borne` behind it."""
        name, value = super().seal(request)
        return name, value + self.line_of_borne()

    def line_of_borne(self):
        return ("" if self.borne is None
                else f"\r\nServer-Brittle: {self.borne}")

    def places(self):
        is_short = (self.borne is not None and
                    time.monotonic() >= self.brittle_since + NOTICE_SECONDS)
        return self.slots + (self.brittle_queue if is_short else self.queue)

    def is_refused(self):
        """Returns whether the call finds no room; falls over if it is one too
        many. Otherwise waits until the call may run."""
        with self.room:
            now = time.monotonic()
            if self.running + self.waiting < self.places():
                self.waiting += 1
                self.room.wait_for(lambda: self.running < self.slots)
                self.waiting -= 1
                self.running += 1
                return False
            self.refused.append(now)
            self.refusals += 1
            recent = sum(when > now - 1 for when in self.refused)
            if self.borne is None or recent <= self.borne:
                return True
            self.falls.append(now)
            self.refused.clear()
            self.fall()
            return True

    def fall(self):
        self.stop_listening()
        self.cut_connections()
        threading.Timer(DOWN_SECONDS, self.come_back).start()

    def come_back(self):
        ip, port = self.address.split(":")
        self.id = f"{self.first_id}-{len(self.falls)}-{new_id()}"
        self.listener = socket.create_server((ip, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def answer(self, connection, request, fault=None):
        if request.target == "/v1/stage-free":
            super().answer(connection, request, fault)
            return
        if self.is_refused():
            connection.reply(503, headers=[
                ("X-Citronlane-Not-Run", "1" + self.line_of_borne())],
                             request_id=request.id)
            return
        try:
            self.work()
            super().answer(connection, request, fault)
            self.served.append(time.monotonic())
        finally:
            with self.room:
                self.running -= 1
                self.room.notify_all()

    def work(self):
        """Takes the time of a call, as far as the answer does not."""


class BrittlePlainServer(Brittle, PlainServer):
    call_seconds = 0.1

    def work(self):
        time.sleep(self.call_seconds)


class BrittleEngine(Brittle, Engine):
    slots = 4
    brittle_queue = 1
    events = 4
    pause = 0.1


class BrittleStageServer(Brittle, StageServer):
    slots = 1
    queue = 2

    def answer(self, connection, request, fault=None):
        # Replies to stage calls have no seal.
        reply = connection.reply
        connection.reply = lambda status, body=b"", headers=(), request_id="": (
            reply(status, body, [*headers, *self.borne_header()], request_id))
        try:
            super().answer(connection, request, fault)
        finally:
            connection.reply = reply

    def borne_header(self):
        return ([] if self.borne is None
                else [("Server-Brittle", str(self.borne))])

    def line_of_borne(self):
        return ""


class BrittleFleet(Fleet):
    """A fleet whose servers can be brittle."""

    def _make_servers(self, stages):
        super()._make_servers(stages)
        for server in self.engines + self.plain + self.stages:
            server.close()
        ip = f"{self.net}.200"
        self.engines = [BrittleEngine(ip, "models", f"e{i}", "ab"[i % 2])
                        for i in range(3)]
        self.plain = [BrittlePlainServer(ip, "shop", f"p{i}", "ab"[i % 2])
                      for i in range(3)]
        self.stages = [BrittleStageServer(ip, "cut", f"c{i}", "ab"[i % 2],
                                          call_seconds=0.15)
                       for i in range(stages)]
        self.list.servers = self.engines + self.plain + self.stages


class BrittleTestCase(LimitTestCase):
    fleet_class = BrittleFleet
    BORNE = 3
    PIECES = "0,0"

    def setUp(self):
        super().setUp()
        for server in self.all_servers():
            server.set_borne(None)

    def all_servers(self):
        return self.fleet.engines + self.fleet.plain + self.fleet.stages

    def send(self, method, path, until, per_second):
        headers = ({"X_Citronlane_Pieces": self.PIECES}
                   if path.startswith("/chat") else {})
        return super().send(method, path, until, per_second, **headers)

    def check(self, servers, method, path, per_second, least_served):
        """Sends more than the brittle servers can take. `least_served`: calls a
        second that they have to serve together nevertheless."""
        self.send(method, path, time.monotonic() + 1, per_second / 3)
        for server in servers:
            server.set_borne(self.BORNE)
        begin = time.monotonic()
        self.send(method, path, begin + NOTICE_SECONDS, per_second / 3)
        from_then = time.monotonic()
        answers = self.send(method, path, from_then + 9, per_second)
        falls = sum(len(server.falls) for server in servers)
        served = sum(when >= from_then for server in servers
                     for when in server.served)
        statuses = {}
        for answer in answers:
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
        rate = served / (time.monotonic() - from_then)
        print(f"{path}: {falls} falls, "
              f"{sum(server.refusals for server in servers)} refused, "
              f"{rate:.1f} calls/s served, {least_served} needed, "
              f"answers {statuses}", flush=True)
        self.assertLessEqual(falls, 2 + len(servers) / 10)
        self.assertEqual([answer.headers for answer in answers
                          if answer.status == 503 and
                          "retry-after" not in answer.headers], [])
        self.assertGreaterEqual(rate, least_served)

        # No longer brittle: they take what waits in their queues again.
        for server in servers:
            server.set_borne(None)
        self.send(method, path, time.monotonic() + 2, per_second / 3)
        answers = self.send(method, path, time.monotonic() + 3,
                            per_second / 3)
        self.assertEqual([answer.status for answer in answers
                          if answer.status != 200], [])
        return statuses


class PlainServerTest(BrittleTestCase):

    def test_plain_servers(self):
        # They can serve 60 calls a second.
        statuses = self.check(self.fleet.plain, "GET", "/look/x", 90, 40)
        self.assertLessEqual(set(statuses), {200, 503})


class FewSlotsFleet(BrittleFleet):
    """A fleet with more gateways than its plain servers have slots."""

    def _make_servers(self, stages):
        super()._make_servers(stages)
        self.plain.pop().close()
        for server in self.plain:
            server.slots = 1
        self.list.servers = self.engines + self.plain + self.stages


class FewSlotsTest(BrittleTestCase):
    fleet_class = FewSlotsFleet
    BORNE = 1

    def test_callers_of_all_gateways_are_served(self):
        """A gateway without a slot refused all requests for the service."""
        self.send("GET", "/look/x", time.monotonic() + 1, 6)
        for server in self.fleet.plain:
            server.set_borne(self.BORNE)
        self.send("GET", "/look/x", time.monotonic() + NOTICE_SECONDS, 6)
        answers = self.send("GET", "/look/x", time.monotonic() + 5, 6)
        statuses = [answer.status for answer in answers]
        falls = sum(len(server.falls) for server in self.fleet.plain)
        print(f"fewer slots than gateways: {falls} falls, {statuses.count(200)}"
              f" of {len(statuses)} served", flush=True)
        self.assertEqual(falls, 0)
        # Some find both servers busy for longer than they wait.
        self.assertGreaterEqual(statuses.count(200), 0.9 * len(statuses))


class EngineTest(BrittleTestCase):

    def test_engines(self):
        # They can serve 30 streams a second.
        statuses = self.check(self.fleet.engines, "POST", "/chat/x", 45, 18)
        self.assertLessEqual(set(statuses), {200, 503})


class StageServerTest(BrittleTestCase):
    PIECES = "2,3"

    def test_stage_servers(self):
        # They can make 13 calls a second.
        self.check(self.fleet.stages, "POST", "/chat/x", 45, 8)


if __name__ == "__main__":
    unittest.main()
