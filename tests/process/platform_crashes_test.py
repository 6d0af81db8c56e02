"""Tests that a request whose content ends every backend server that runs it is
stopped, and that the requests beside it are not."""

import json
import threading
import time
import unittest

from process.platform_fleet import Fleet, ask_at_intervals, new_id
from process.platform_stand_in import Engine
from process.platform_test import FleetTestCase
from process.processes import wait_until

CRASHING_BODY = b"ends every engine"
# How long the fleet has to recognise a request after the third crash, and how
# often the request may reach a server afterwards.
RECOGNITION_SECONDS = 3
MAX_LATER_RUNS = 3
REASON = b"crashes_servers"


class CrashingEngine(Engine):
    """Ends when it begins to run CRASHING_BODY. A new incarnation starts at the
    same address `down_seconds` later; until then the list has the old one."""

    down_seconds = 1.2
    pause = 0.02

    def answer(self, connection, request, fault=None):
        if request.body != CRASHING_BODY:
            super().answer(connection, request, fault)
            return
        self.note_run(request.id)
        self.fleet.arrivals.append(request.arrived)
        self.fleet.note_crash(self)
        raise ConnectionError


class CrashFleet(Fleet):
    """A fleet with servers of one service that crash. `KIND` is the attribute
    that has them."""

    KIND = "engines"
    SERVICE = "models"
    SERVERS = 6
    engine_class = CrashingEngine

    def _make_servers(self, stages):
        super()._make_servers(stages)
        for server in getattr(self, self.KIND):
            server.close()
        self.lock = threading.Lock()
        self.crashes = []
        self.arrivals = []
        setattr(self, self.KIND, [
            self.prepare(self.engine_class(f"{self.net}.200", self.SERVICE,
                                           f"e{i}", "ab"[i % 2]))
            for i in range(self.SERVERS)])
        self.list.servers = self.engines + self.plain + self.stages

    def prepare(self, engine):
        engine.fleet = self
        return engine

    def note_crash(self, engine):
        with self.lock:
            if any(crashed is engine for _, crashed in self.crashes):
                return
            self.crashes.append((time.monotonic(), engine))
        engine.stop_listening()
        engine.cut_connections()
        threading.Thread(target=self._restart, args=(engine,),
                         daemon=True).start()

    def _restart(self, engine):
        time.sleep(engine.down_seconds)
        ip, port = engine.address.split(":")
        started = self.prepare(self.engine_class(
            ip, self.SERVICE, f"{engine.id}+", engine.domain, int(port)))
        with self.lock:
            servers = getattr(self, self.KIND)
            servers[servers.index(engine)] = started
            self.list.servers = self.engines + self.plain + self.stages


class CrashingRequestTest(FleetTestCase):
    fleet_class = CrashFleet
    gateways = 3

    def send_in_turn(self, body_of, answers, until, gap):
        """Sends requests to the gateways in turn, each without waiting for the
        one before, until the time is over."""
        def ask(number):
            body = body_of(number)
            answers.append((time.monotonic(), body,
                            self.fleet.ask("POST", "/chat/x", body, new_id(),
                                           number % self.gateways)))
        ask_at_intervals(ask, until, gap)

    def test_request_that_ends_servers_is_stopped(self):
        until = time.monotonic() + 9
        crashing, others = [], []
        senders = [
            threading.Thread(target=self.send_in_turn, args=args)
            for args in (
                (lambda _: CRASHING_BODY, crashing, until, 0.45),
                (lambda number: b"own %d" % number, others, until, 0.07),
                (lambda _: b"asked by many", others, until, 0.15))]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

        crashes = [when for when, _ in self.fleet.crashes]
        self.assertGreaterEqual(len(crashes), 3, "too few crashes to test")
        late = crashes[2] + RECOGNITION_SECONDS
        later_runs = sum(when > late for when in self.fleet.arrivals)
        print(f"{len(crashes)} servers ended; {later_runs} runs began later "
              f"than {RECOGNITION_SECONDS} s after the third", flush=True)
        self.assertLessEqual(later_runs, MAX_LATER_RUNS)

        # Refused at once, and marked as not run: no server got it.
        refused = [answer for when, _, answer in crashing if when > late + 1]
        self.assertTrue(refused)
        for answer in refused:
            self.assertEqual(answer.status, 503)
            self.assertIn(REASON, answer.body)
            self.assertIn(b"not_run", answer.body)
            self.assertIn("retry-after", answer.headers)
        # Requests that were running beside it are not refused for it.
        self.assertEqual([body for _, body, answer in others
                          if REASON in answer.body], [])
        self.assertEqual([(body, answer.status) for when, body, answer in others
                          if when > late + 1 and not answer.whole], [])

        self.check_operators_can_lift_the_block()

    def check_operators_can_lift_the_block(self):
        status, text = self.fleet.call_control("GET", "/suspect-requests")
        self.assertEqual(status, 200)
        blocked = [entry for entry in json.loads(text)["requests"]
                   if entry["blocked_ms"] > 0]
        self.assertEqual(len(blocked), 1, text)
        self.assertGreaterEqual(blocked[0]["crashes"], 3)
        status, _ = self.fleet.call_control("DELETE", "/suspect-requests")
        self.assertEqual(status, 200)
        for gateway in range(self.gateways):
            wait_until(lambda gateway=gateway: "citronlane_requests_blocked 0"
                       in self.fleet.metrics(gateway), "the block lifted")
        answer = self.fleet.ask("POST", "/chat/x", CRASHING_BODY, new_id())
        self.assertNotIn(REASON, answer.body)


if __name__ == "__main__":
    unittest.main()
