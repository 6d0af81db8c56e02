"""Tests that requests which share nothing but a prompt segment that ends every
engine are stopped, and that requests which share all else with them are not."""

import threading
import time
import unittest

from process.platform_crashes_test import CrashFleet, REASON
from process.platform_fleet import ask_at_intervals, new_id
from process.platform_stand_in import REQUEST_ID, Engine
from process.platform_test import FleetTestCase

CRASHING_SEGMENTS = ("bad1", "bad2")
# How long the fleet has to recognise a segment after the fifth crash, and how
# often requests with it may reach a server afterwards.
RECOGNITION_SECONDS = 3
MAX_LATER_ARRIVALS = 3
DECIDING_CRASHES = 5
RUN_SECONDS = 14


def shared_segments(request):
    """Returns the ids of the segments that other requests may have, too."""
    prompt = request.headers.get("x-citronlane-prompt-prefix", "")
    return [entry.split(":")[0] for entry in prompt.split(",")][:-1]


class SegmentCrashingEngine(Engine):
    """Ends when it begins to reply to a request with one of CRASHING_SEGMENTS.
    A new incarnation starts at the same address `down_seconds` later; until
    then the list has the old one."""

    down_seconds = 1.2
    pause = 0.02
    # Whether the head of the reply is sent before, with neither a length nor
    # chunks, so that it looks complete when the connection ends.
    sends_head = False

    def _serve_one(self, connection, request):
        for segment in set(shared_segments(request)) & set(CRASHING_SEGMENTS):
            self.fleet.note_arrival(segment, request)
        super()._serve_one(connection, request)

    def answer(self, connection, request, fault=None):
        crashing = set(shared_segments(request)) & set(CRASHING_SEGMENTS)
        if not crashing:
            super().answer(connection, request, fault)
            return
        self.note_run(request.id)
        time.sleep(0.03)
        if self.sends_head:
            name, value = self.seal(request)
            connection.send(
                (f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request.id}\r\n"
                 f"{name}: {value}\r\nContent-Type: text/event-stream\r\n"
                 "Connection: close\r\n\r\n").encode())
            time.sleep(0.02)
        self.fleet.note_segment_crash(self, crashing)
        raise ConnectionError


class HeadSendingEngine(SegmentCrashingEngine):
    sends_head = True


class SegmentCrashFleet(CrashFleet):
    """A fleet with SegmentCrashingEngines."""

    SERVERS = 8
    engine_class = SegmentCrashingEngine

    def _make_servers(self, stages):
        self.arrived = {segment: [] for segment in CRASHING_SEGMENTS}
        self.crashed = {segment: [] for segment in CRASHING_SEGMENTS}
        super()._make_servers(stages)

    def note_arrival(self, segment, request):
        self.arrived[segment].append(request.arrived)

    def note_segment_crash(self, engine, segments):
        before = len(self.crashes)
        self.note_crash(engine)
        if len(self.crashes) > before:
            for segment in segments:
                self.crashed[segment].append(time.monotonic())


class HeadSendingFleet(SegmentCrashFleet):
    engine_class = HeadSendingEngine


class CrashingSegmentTestCase(FleetTestCase):
    """Sends crashing and sound requests with the same client account and the
    same first segment, and checks who is refused."""

    gateways = 3

    def send_in_turn(self, segment, until, gap, answers):
        """Sends requests to the gateways in turn, no two alike, each without
        waiting for the one before, until the time is over."""
        def ask(number):
            prompt = f"aa:60,{segment}:40,{new_id()}:10"
            answers.append((time.monotonic(), segment, self.fleet.ask(
                "POST", "/chat/x", new_id().encode(), new_id(),
                number % self.gateways, X_Citronlane_Prompt_Prefix=prompt)))
        ask_at_intervals(ask, until, gap)

    def check(self, segments, gap):
        until = time.monotonic() + RUN_SECONDS
        crashing, sound = [], []
        senders = [threading.Thread(target=self.send_in_turn,
                                    args=(segment, until, gap, crashing))
                   for segment in segments]
        senders += [threading.Thread(target=self.send_in_turn,
                                     args=(segment, until, pause, sound))
                    for segment, pause in (("bb", 0.1), ("cc", 0.3))]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

        late = {}
        for segment in segments:
            crashes = self.fleet.crashed[segment]
            self.assertGreaterEqual(len(crashes), 3, "too few crashes to test")
            decided = crashes[:DECIDING_CRASHES][-1]
            late[segment] = decided + RECOGNITION_SECONDS
            later = sum(when > late[segment]
                        for when in self.fleet.arrived[segment])
            print(f"{segment}: {len(crashes)} servers ended; {later} arrivals "
                  f"later than {RECOGNITION_SECONDS} s after the fifth",
                  flush=True)
            self.assertLessEqual(later, MAX_LATER_ARRIVALS)
        # Refused at once, and marked as not run: no server got it.
        refused = [answer for when, segment, answer in crashing
                   if when > late[segment] + 1]
        self.assertTrue(refused)
        for answer in refused:
            self.assertEqual(answer.status, 503)
            self.assertIn(REASON, answer.body)
            self.assertIn(b"not_run", answer.body)
            self.assertIn("retry-after", answer.headers)
        self.assertEqual([(segment, answer.body)
                          for _, segment, answer in sound
                          if REASON in answer.body], [])
        calm = max(late.values()) + RECOGNITION_SECONDS
        after = [answer for when, _, answer in sound if when > calm]
        self.assertGreaterEqual(len(after), 20, "too few sound requests")
        self.assertEqual([answer.status for answer in after
                          if not answer.whole or answer.status != 200], [])


class CrashBeforeReplyTest(CrashingSegmentTestCase):
    fleet_class = SegmentCrashFleet

    def test_one_segment_is_stopped(self):
        self.check(CRASHING_SEGMENTS[:1], 0.45)


class CrashAfterHeadTest(CrashingSegmentTestCase):
    fleet_class = HeadSendingFleet

    def test_two_segments_are_stopped(self):
        self.check(CRASHING_SEGMENTS, 0.9)


if __name__ == "__main__":
    unittest.main()
