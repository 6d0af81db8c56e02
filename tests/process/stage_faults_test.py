"""Tests that callers get complete answers or correct reasons when backend
servers fail."""

import threading
import unittest

from process import caller
from process.cluster_test_case import TOKENS, ClusterTestCase
from process.processes import wait_until

POOLS = ("t-encoder", "t-retriever", "t-reranker", "t-engine")
HOLD_AT = 5


class StageFaultsTest(ClusterTestCase):
    # The tests need retries, so the budget must not limit them.
    gateway_settings = {"retry_budget": 1}

    def stream_to_hold(self, text, fault):
        """Holds a stream after HOLD_AT tokens and injects a fault into its
        engine. Returns the calls once the stream has ended."""
        self.cluster.fault("t-engine", hold=True, hold_at=HOLD_AT)
        reached = threading.Event()
        background = caller.Background()
        background.start(self.ask, text, stream=True, on_token=lambda call: (
            len(call.answer.split()) == HOLD_AT and reached.set()))
        self.assertTrue(reached.wait(20), "stream did not start")
        engine = self.runs("t-engine", text)[0]["server"]
        self.cluster.fault(engine, **fault)
        self.cluster.fault("t-engine", hold=False)
        return background.join()

    def test_late_and_out_of_order_answers_reach_their_own_callers(self):
        for i, pool in enumerate(POOLS):
            self.cluster.fault(f"{pool}-1", slow_ms=30 + 20 * i)
        calls = self.ask_at_once(40, "order")
        self.assert_whole(calls)
        self.figure(requests=len(calls), whole=len(calls), misdelivered=0)

    def test_straggler_loses_nothing(self):
        self.assert_whole([self.ask(f"warm {i}") for i in range(40)])
        self.cluster.fault("t-encoder-1", slow_ms=700)
        calls = [self.ask(f"late {i}") for i in range(30)]
        self.assert_whole(calls)
        times = sorted(call.ended - call.sent for call in calls)
        self.figure(requests=len(calls),
                    median_ms=round(times[len(times) // 2] * 1000),
                    slowest_ms=round(times[-1] * 1000))

    def test_cut_stream_is_resumed_without_gap_or_repeat(self):
        for cut_at in (1, 7, TOKENS - 1):
            self.cluster.fault("t-engine", cut_stream=0)
            self.cluster.fault("t-engine-1", cut_stream=1, cut_at=cut_at)
            self.cluster.fault("t-engine-2", cut_stream=1, cut_at=cut_at)
            self.cluster.fault("t-engine-3", cut_stream=1, cut_at=cut_at)
            self.assert_whole([self.ask(f"cut {cut_at}", stream=True)])
        modes = [run["mode"] for run in self.runs("t-engine")]
        self.assertIn("resume", modes)
        self.figure(cuts=3, resumes=modes.count("resume"))

    def test_engine_stopped_in_a_stream_is_continued_elsewhere(self):
        calls = self.stream_to_hold("stopped", {"stop": True})
        self.assert_whole(calls)
        modes = [run["mode"] for run in self.runs("t-engine", "stopped")]
        self.assertEqual(modes, ["fresh", "continue"])
        self.figure(cut_after_tokens=HOLD_AT, whole=1)

    def test_engine_that_forgot_the_stream_is_continued(self):
        calls = self.stream_to_hold("forgot",
                                    {"stop": True, "start": True})
        self.assert_whole(calls)

    def test_reply_under_another_id_is_dropped(self):
        for pool in POOLS:
            with self.subTest(pool):
                self.cluster.fault(pool, wrong_id=1)
                self.assert_whole([self.ask("id " + pool)])

    def test_unusable_replies_are_errors_of_their_attempt(self):
        for pool in POOLS[:3]:
            for fault in ("garbage", "oversize", "fail", "reject",
                          "close_before_run", "close_after_read"):
                with self.subTest(pool=pool, fault=fault):
                    self.cluster.fault(pool + "-1", **{fault: 1})
                    self.assert_whole([self.ask(f"{fault} {pool}")])

    def test_refused_connection_is_retried(self):
        for pool in POOLS:
            self.cluster.fault(pool + "-1", stop=True)
        calls = [self.ask(f"refused {i}") for i in range(10)]
        self.assert_whole(calls)
        self.figure(requests=10, whole=10)

    def test_pool_down_is_refused_with_a_true_verdict(self):
        for pool in POOLS:
            with self.subTest(pool):
                self.cluster.fault(pool, stop=True)
                call = self.ask("down " + pool)
                self.cluster.fault(pool, start=True)
                self.assertNotEqual(call.status, 200)
                self.assert_clean([call])
                if pool == POOLS[0]:
                    self.assertEqual(call.verdict, "not_run")

    def test_call_that_may_not_repeat_runs_once_when_its_reply_is_lost(self):
        self.cluster.fault("t-desk", close_after_read=1)
        call = self.cluster.caller().service("POST", "/services/t-desk/note",
                                             "note 1", once_pool="t-desk")
        self.assertEqual(len(self.runs("t-desk", "note 1")), 1)
        self.assertEqual(call.verdict, "may_have_run")
        self.assert_clean([call])

    def test_call_that_may_not_repeat_is_retried_when_refused(self):
        self.cluster.fault("t-desk-1", stop=True)
        way = self.cluster.caller()
        calls = [way.service("POST", "/services/t-desk/note", f"note r{i}",
                             once_pool="t-desk") for i in range(6)]
        self.assert_whole(calls)

    def test_caller_that_goes_away_cancels_its_stream(self):
        self.cluster.fault("t-engine", pace_us=20000)
        text = "gone"

        def leave(call):
            raise OSError("caller leaves")
        self.ask(text, stream=True, on_token=leave)
        ended = wait_until(
            lambda: [run for run in self.runs("t-engine", text)
                     if run["to_token"]], "stream cancelled")
        self.assertLess(ended[0]["to_token"], TOKENS)
        self.figure(tokens_generated=ended[0]["to_token"], of=TOKENS)


if __name__ == "__main__":
    unittest.main()
