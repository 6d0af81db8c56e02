"""Compares the records of callers, gateways and fakes after a run and returns
the violations of each invariant. All functions are pure."""

import collections
import dataclasses
from typing import Optional

from checker import content

LOST = "lost"
DOUBLED = "doubled"
MISDELIVERED = "misdelivered"
UNTRUE_REFUSAL = "untrue_refusal"
UNEXPLAINED = "unexplained"
SECOND_RUN = "second_run"
WORK_AFTER_LEAVING = "work_after_leaving"
REVERTED = "reverted"
KINDS = (LOST, DOUBLED, MISDELIVERED, UNTRUE_REFUSAL, UNEXPLAINED, SECOND_RUN,
         WORK_AFTER_LEAVING, REVERTED)

NOT_RUN = "not_run"
VERDICTS = (NOT_RUN, "may_have_run", "ran")


@dataclasses.dataclass
class Call:
    """A request and its result, as recorded by the caller."""
    text: str
    # The complete answer to this request.
    expected: str = ""
    # Pool that may run this text at most once; None when it may run repeatedly.
    once_pool: Optional[str] = None
    status: Optional[int] = None
    answer: str = ""
    # Whether the answer ended properly; a stream ends with [DONE].
    finished: bool = False
    # From the problem document of a refusal or an error event.
    reason: Optional[str] = None
    verdict: Optional[str] = None
    refusal_id: Optional[str] = None
    # Id given by the gateway; the prefix of the ids of its attempts.
    request_id: Optional[str] = None
    config_version: int = 0
    cost_by_stage: dict = dataclasses.field(default_factory=dict)
    # Whether the test killed the gateway that served the request.
    server_killed: bool = False
    sent: float = 0.0
    ended: float = 0.0

    @property
    def whole(self):
        return self.finished and self.answer == self.expected


@dataclasses.dataclass
class Seen:
    """Configuration version that a process reported, with the time."""
    process: str
    time: float
    version: int


def check(calls, runs, versions=(), leaving_bound=3.0):
    """Returns {kind: [violation, ...]} with an entry for every kind. A backend
    server may start work until `leaving_bound` seconds after it drains."""
    faults = {kind: [] for kind in KINDS}
    by_text = collections.defaultdict(list)
    for run in runs:
        by_text[run["text"]].append(run)
    others = collections.Counter(call.expected for call in calls)
    for call in calls:
        _check_answer(call, others, faults)
        _check_refusal(call, calls, by_text, faults)
    _check_once(calls, by_text, faults)
    for run in runs:
        where = f"{run['server']} {run['attempt']}"
        if run["mixed"]:
            faults[MISDELIVERED].append(f"{where}: inputs of two requests")
        if run["left_for"] > leaving_bound:
            faults[WORK_AFTER_LEAVING].append(
                f"{where}: {run['left_for']:.1f} s after leaving")
    _check_versions(versions, faults)
    return faults


def _check_answer(call, others, faults):
    if call.status is None:
        if not call.server_killed:
            faults[LOST].append(f"{call.text!r}: no answer")
        return
    if call.status != 200 or call.whole:
        return
    if not call.expected.startswith(call.answer):
        kind = MISDELIVERED
        if _repeats(call):
            kind = DOUBLED
        elif not call.answer.startswith(call.expected[:8]) and not any(
                other != call.expected and call.answer and
                other.startswith(call.answer) for other in others):
            kind = LOST
        faults[kind].append(f"{call.text!r}: {call.answer!r}")
    elif call.finished or not (call.reason or call.server_killed):
        # An incomplete answer that ended properly, or broke off without an
        # explicit error.
        faults[LOST].append(f"{call.text!r}: {len(call.answer)} of "
                            f"{len(call.expected)} bytes, no error")


def _repeats(call):
    words = call.answer.split()
    return len(set(words)) < len(words) and set(words) <= set(
        call.expected.split())


def _check_refusal(call, calls, by_text, faults):
    refused = call.status is not None and (call.status != 200 or call.reason)
    if not refused:
        return
    if not call.reason or call.verdict not in VERDICTS or not call.refusal_id:
        faults[UNEXPLAINED].append(
            f"{call.text!r}: {call.status} {call.reason} {call.verdict}")
    if call.verdict != NOT_RUN:
        return
    # Without a request id, a run contradicts the refusal only if no other
    # request with the same text can have caused it.
    twins = sum(other.text == call.text for other in calls)
    for run in by_text[content.text_digest(call.text)]:
        own = (run["attempt"].split("/")[0] == call.request_id
               if call.request_id else twins == 1)
        if run["ran"] and own:
            faults[UNTRUE_REFUSAL].append(
                f"{call.text!r}: {call.reason} but ran on {run['server']}")
            return


def _check_once(calls, by_text, faults):
    once = {(call.text, call.once_pool) for call in calls if call.once_pool}
    for text, pool in sorted(once):
        ran = [run for run in by_text[content.text_digest(text)]
               if run["pool"] == pool and run["ran"] and
               run["mode"] == "fresh"]
        if len(ran) > 1:
            servers = ", ".join(run["server"] for run in ran)
            faults[SECOND_RUN].append(f"{text!r}: {len(ran)} runs: {servers}")


def _check_versions(versions, faults):
    highest = {}
    for seen in sorted(versions, key=lambda seen: seen.time):
        if seen.version < highest.get(seen.process, 0):
            faults[REVERTED].append(
                f"{seen.process}: {highest[seen.process]} to {seen.version}")
        highest[seen.process] = max(seen.version,
                                    highest.get(seen.process, 0))


def total(faults):
    return sum(len(found) for found in faults.values())


def report(faults):
    """Returns a line for each violation."""
    return "\n".join(f"{kind}: {what}" for kind in KINDS
                     for what in faults[kind])
