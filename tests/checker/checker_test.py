"""Tests that the checker finds each kind of violation, and only that one."""

import unittest

from checker import checker
from checker import content
from checker.checker import Call, Seen

TOKENS = 4
REFUSED = dict(status=503, reason="no_backend_server", refusal_id="r-1")


def run_of(text, **fields):
    return {"server": "g1", "pool": "engine", "attempt": "gw-1-1/3/1",
            "text": content.text_digest(text), "ran": True, "mixed": False,
            "left_for": -1.0, "mode": "fresh", **fields}


def answered(text, **fields):
    whole = content.answer(text, TOKENS)
    return Call(**{"text": text, "expected": whole, "status": 200,
                   "answer": whole, "finished": True, **fields})


def cut(text, tokens):
    return content.answer(text, tokens)


# Name, kinds counted, calls, runs, versions.
PLANTS = [
    ("whole answers", [], [answered("a"), answered("b")],
     [run_of("a"), run_of("b")], []),
    ("no answer", [checker.LOST],
     [answered("a", status=None, answer="", finished=False)], [], []),
    ("no answer from a killed gateway", [],
     [answered("a", status=None, answer="", finished=False,
               server_killed=True)], [], []),
    ("clean end too early", [checker.LOST],
     [answered("a", answer=cut("a", 2))], [run_of("a")], []),
    ("cut without an error", [checker.LOST],
     [answered("a", answer=cut("a", 2), finished=False)], [run_of("a")], []),
    ("cut with an explicit error", [],
     [answered("a", answer=cut("a", 2), finished=False, reason="stream_broken",
               verdict="ran", refusal_id="r-1")], [run_of("a")], []),
    ("gap in the stream", [checker.LOST],
     [answered("a", answer=content.digest("a", "token", 1) + " ")],
     [run_of("a")], []),
    ("repeated token", [checker.DOUBLED],
     [answered("a", answer=cut("a", 2) + cut("a", 4))], [run_of("a")], []),
    ("another's answer", [checker.MISDELIVERED],
     [answered("a", answer=cut("b", 4)), answered("b")], [run_of("b")], []),
    ("inputs of two requests", [checker.MISDELIVERED], [answered("a")],
     [run_of("a", mixed=True)], []),
    ("true refusal", [], [Call("a", verdict="not_run", **REFUSED)],
     [run_of("a", ran=False)], []),
    ("untrue refusal", [checker.UNTRUE_REFUSAL],
     [Call("a", verdict="not_run", **REFUSED)], [run_of("a")], []),
    ("untrue refusal of one of two arrivals", [checker.UNTRUE_REFUSAL],
     [answered("a"), Call("a", verdict="not_run", request_id="gw-1-2",
                          **REFUSED)],
     [run_of("a"), run_of("a", attempt="gw-1-2/0/1")], []),
    ("refusal that admits it", [],
     [Call("a", verdict="may_have_run", **REFUSED)], [run_of("a")], []),
    ("refusal without a reason", [checker.UNEXPLAINED],
     [Call("a", status=503)], [], []),
    ("second run", [checker.SECOND_RUN],
     [answered("a", once_pool="engine"), answered("a", once_pool="engine")],
     [run_of("a"), run_of("a", server="g2")], []),
    ("repeat of a stage that may repeat", [],
     [answered("a", once_pool="engine")],
     [run_of("a"), run_of("a", pool="encoder"), run_of("a", pool="encoder")],
     []),
    ("resumed stream", [], [answered("a", once_pool="engine")],
     [run_of("a"), run_of("a", mode="resume")], []),
    ("work after leaving", [checker.WORK_AFTER_LEAVING], [answered("a")],
     [run_of("a", left_for=3.5)], []),
    ("work within the bound", [], [answered("a")],
     [run_of("a", left_for=0.5)], []),
    ("configuration goes back", [checker.REVERTED], [], [],
     [Seen("g1", 1.0, 3), Seen("g1", 2.0, 2)]),
    ("configuration rises", [], [], [],
     [Seen("g1", 1.0, 3), Seen("g2", 2.0, 2), Seen("g1", 3.0, 4)]),
]


class CheckerTest(unittest.TestCase):

    def test_each_planted_fault_is_counted_and_no_other(self):
        for name, kinds, calls, runs, versions in PLANTS:
            with self.subTest(name):
                faults = checker.check(calls, runs, versions)
                found = [kind for kind in checker.KINDS if faults[kind]]
                self.assertEqual(found, kinds, checker.report(faults))

    def test_every_kind_has_a_plant(self):
        planted = {kind for plant in PLANTS for kind in plant[1]}
        self.assertEqual(planted, set(checker.KINDS))


if __name__ == "__main__":
    unittest.main()
