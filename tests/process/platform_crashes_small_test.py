"""Tests that a request which ends all servers of a small service within half a
second is stopped, and that requests beside it are served. Guards against crashes
that are close together counting as one."""

import threading
import time
import unittest

from process.platform_crashes_test import (
    MAX_LATER_RUNS, REASON, RECOGNITION_SECONDS, CrashFleet)
from process.platform_fleet import ask_at_intervals, new_id
from process.platform_stand_in import PlainServer
from process.platform_test import FleetTestCase, SettledFleet

CRASHING_PATH = "/look/ends-every-server"


class CrashingServer(PlainServer):
    """Ends a short time after it has begun to run CRASHING_PATH. A new
    incarnation starts at the same address `down_seconds` later; until then the
    list has the old one."""

    down_seconds = 1.5
    run_seconds = 0.05

    def answer(self, connection, request, fault=None):
        if request.target != CRASHING_PATH:
            super().answer(connection, request, fault)
            return
        self.fleet.arrivals.append(time.monotonic())
        time.sleep(self.run_seconds)
        self.fleet.note_crash(self)
        raise ConnectionError


class SmallService(CrashFleet, SettledFleet):
    """A fleet with a plain service of four servers that crash."""

    KIND = "plain"
    SERVICE = "shop"
    SERVERS = 4
    engine_class = CrashingServer


class SmallServiceTest(FleetTestCase):
    fleet_class = SmallService
    gateways = 3
    # Callers send the request twice right after each other, then come back.
    burst = 2
    pause = 4

    def send_crashing(self, answers, until):
        def ask(number):
            for attempt in range(self.burst):
                answers.append((time.monotonic(), self.fleet.ask(
                    "GET", CRASHING_PATH, b"", new_id(),
                    (number + attempt) % self.gateways)))
        ask_at_intervals(ask, until, self.pause)

    def send_popular(self, answers, until):
        def ask(number):
            answers.append((time.monotonic(), self.fleet.ask(
                "GET", "/look/asked-by-many", b"", new_id(),
                number % self.gateways)))
        ask_at_intervals(ask, until, 0.05)

    def test_request_that_ends_a_small_service_is_stopped(self):
        until = time.monotonic() + 17
        crashing, popular = [], []
        senders = [
            threading.Thread(target=self.send_crashing, args=(crashing, until)),
            threading.Thread(target=self.send_popular, args=(popular, until))]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

        crashes = [when for when, _ in self.fleet.crashes]
        self.assertGreaterEqual(len(crashes), 3, "too few crashes to test")
        late = crashes[2] + RECOGNITION_SECONDS
        later = sum(when > late for when in self.fleet.arrivals)
        print(f"{len(crashes)} servers ended; {later} arrivals later than "
              f"{RECOGNITION_SECONDS} s after the third", flush=True)
        self.assertLessEqual(later, MAX_LATER_RUNS)
        last_sent = crashing[-1][1]
        self.assertEqual(last_sent.status, 503)
        self.assertIn(REASON, last_sent.body)
        # The popular request ran on all of the servers that ended.
        self.assertEqual([answer.status for _, answer in popular
                          if REASON in answer.body], [])
        self.assertTrue(all(answer.status == 200 for when, answer in popular
                            if when > until - 4))


if __name__ == "__main__":
    unittest.main()
