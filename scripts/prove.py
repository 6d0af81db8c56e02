"""Runs the tests of each guarantee and prints a line for each.

PROVED <guarantee>: <tests that passed>, <figures they measured>
UNPROVED <guarantee>: <tests that failed or do not exist>

With --check it only checks that all named tests exist.
"""

import json
import os
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("CITRONLANE_BUILD_DIR", os.path.join(ROOT, "build"))
TESTS = os.path.join(ROOT, "tests")
UNIT_SECONDS = 120

FAULTS = "stage_faults_test.StageFaultsTest.test_"
CONTROL = "control_test.ControlTest.test_"
ONCE = "once_test.OnceTest.test_"
RECOVERY = "recovery_test.RecoveryTest.test_"
STORM = "storm_test.StormTest.test_"

# Guarantee, tests. "unit-x" runs all test cases of that program, "unit-x: name"
# one of them; other names are tests with real processes.
ALWAYS = [
    ("no stage result is lost, doubled or handed to another request", [
        FAULTS + "late_and_out_of_order_answers_reach_their_own_callers",
        FAULTS + "reply_under_another_id_is_dropped",
        FAULTS + "unusable_replies_are_errors_of_their_attempt",
        "unit-request: request under any order of events"]),
    ("a caller receives the whole answer to its own request", [
        FAULTS + "cut_stream_is_resumed_without_gap_or_repeat",
        FAULTS + "engine_stopped_in_a_stream_is_continued_elsewhere",
        FAULTS + "engine_that_forgot_the_stream_is_continued",
        FAULTS + "late_and_out_of_order_answers_reach_their_own_callers"]),
    ('a refusal that says "not run" is true', [
        FAULTS + "pool_down_is_refused_with_a_true_verdict",
        ONCE + "refused_before_any_stage_the_key_is_free_again",
        CONTROL + "without_a_quorum_nothing_new_is_accepted",
        "bad_input_test.BadInputTest."
        "test_each_bad_request_is_refused_and_nothing_of_it_runs"]),
    ("a non-idempotent request runs at most once", [
        ONCE + "gateway_killed_at_each_step_and_request_sent_again",
        ONCE + "second_arrival_gets_the_first_ones_answer",
        ONCE + "many_arrivals_at_once_run_once",
        ONCE + "service_call_runs_once_when_its_reply_is_lost",
        FAULTS + "call_that_may_not_repeat_runs_once_when_its_reply_is_lost",
        "unit-state: claims", "unit-idempotency"]),
    ("a backend server that is leaving receives no new work", [
        "leaving_test.LeavingTest.test_platform_marks_it",
        "leaving_test.LeavingTest.test_server_says_so_itself",
        "unit-routing: leaving servers", "unit-config-lease: server states"]),
    ("a cold server gets no more requests than it tolerates", [
        "unit-cold-servers"]),
    ("a request that crashes each server is stopped", [
        "unit-crash-ledger", "unit-crash-fleet", "unit-crash-fleet-small",
        "platform_crashes_small_test.SmallServiceTest."
        "test_request_that_ends_a_small_service_is_stopped",
        "crashes_test.CrashingRequestTest."
        "test_request_that_ends_engines_is_stopped",
        "crashes_test.CrashingRequestInFleetTest."
        "test_request_that_ends_engines_is_stopped"]),
    ("a planned stop cuts off no request in flight", [
        "shutdown_test.ShutdownTest.test_sigterm_under_streams_cuts_none",
        "unit-gateway-lifecycle: gateway that shuts down"]),
    ("an accepted configuration is in force everywhere and never reverts", [
        CONTROL + "change_is_in_force_everywhere",
        CONTROL + "cut_off_leader_reverts_nothing",
        CONTROL + "without_a_quorum_nothing_new_is_accepted",
        "unit-config-lease: in force everywhere",
        "unit-consensus-schedules: consensus keeps its rules"]),
]
FAILS = [
    ("a stage becomes a straggler", [
        FAULTS + "straggler_loses_nothing", "unit-routing: straggler",
        "unit-hedging: hedge"]),
    ("a stage fails outright", [
        FAULTS + "refused_connection_is_retried",
        FAULTS + "pool_down_is_refused_with_a_true_verdict",
        "unit-hedging: retry", "unit-routing: ejection"]),
    ("traffic arrives in bursts", [
        STORM + "burst_is_answered_or_refused_truly",
        "unit-admission: early refusal", "unit-admission: large account",
        "unit-admission: batch"]),
    ("processes die", [
        ONCE + "gateway_killed_at_each_step_and_request_sent_again",
        CONTROL + "leader_killed_while_gateways_serve",
        "unit-power-cut: storage loses nothing when power is cut at any call"]),
    ("a control VM is cut off by a silent partition for a long time", [
        CONTROL + "cut_off_leader_reverts_nothing",
        RECOVERY + "vm_cut_off_through_many_changes_catches_up",
        "unit-consensus: leader that is cut off"]),
    ("operators race with changes carrying equal numbers", [
        CONTROL + "of_two_racing_changes_one_wins",
        "unit-state: configuration history"]),
    ("operators resend changes after an answer is lost", [
        CONTROL + "change_sent_again_changes_nothing_more",
        "unit-state: configuration history"]),
    ("a second VM is lost right after a repair", [
        RECOVERY + "second_vm_lost_right_after_a_repair",
        "unit-consensus: lost disk under its old id"]),
    ("processes restart after hundreds of configuration changes", [
        CONTROL + "all_control_vms_restart_after_many_changes",
        "unit-storage: restart after 500 changes reads one snapshot and a "
        "bounded tail"]),
    ("any of these at any moment, together or twice", [
        STORM + "faults_together_and_twice"]),
    ("malformed input", [
        "bad_input_test.BadInputTest."
        "test_random_changes_of_a_request_harm_nothing",
        "bad_input_test.BadInputTest.test_half_open_connections_keep_nobody_"
        "out", "unit-fuzz"]),
]

PLATFORM = "platform_test."
DRAIN = "platform_drain_test.DrainFaultsTest.test_"

# The rules of the users' platform, with their names in its documents.
RULES = [
    ("MIXED: an answer is a server's own, whole, and its request's", [
        PLATFORM + "RequestTest.test_stages_and_stream",
        PLATFORM + "RequestTest.test_extra_reply_reaches_nobody",
        PLATFORM + "RequestTest.test_server_error_is_passed_on_unchanged",
        "unit-stages: stage results"]),
    ("MIXED: a server's late or second reply reaches no other request", [
        "unit-reply-identity: a late second reply is discarded",
        "unit-reply-identity: a reply must show that it belongs to the "
        "request",
        "unit-reply-identity: a stage call accepts no other call's results",
        "unit-reply-identity: a stage reply that names no result is the last "
        "on its connection",
        "unit-stages: replies to a pool's calls"]),
    ("MIXED: stage results reach the request that asked, through any owner", [
        "unit-stage-owners: results of a stage task reach the request that "
        "submitted it",
        "unit-stage-owners: one owner serves the tasks of many gateways",
        "unit-stage-owners: a stage task whose owner is lost"]),
    ("one gateway owns a stage pool, by the highest number", [
        "unit-stage-owners: the owner of a stage pool",
        "unit-stage-owners: announcements of stage tasks",
        "unit-stage-owners: results that an owner is requested to free"]),
    ("UNASKED: nothing runs that no caller asked for, unchanged", [
        PLATFORM + "RequestTest.test_headers",
        PLATFORM + "SmugglingTest.test_both_framings",
        PLATFORM + "SmugglingTest.test_unknown_framing",
        PLATFORM + "SmugglingTest.test_two_lengths",
        "unit-platform: platform request headers"]),
    ("TWICE: what may not repeat runs at most once", [
        PLATFORM + "RequestTest."
        "test_lost_answer_of_unsafe_request_is_not_repeated",
        PLATFORM + "StartAgainTest.test_unsafe_request_in_hand_runs_once",
        PLATFORM + "StartAgainTest.test_unsafe_request_of_a_start_that_fell_"
        "silent_runs_once",
        "unit-serving: routes whose requests may repeat"]),
    ("REFUSED: a promise that nothing ran is true", [
        PLATFORM + "RequestTest.test_refused_everywhere_is_told_so",
        PLATFORM + "StartAgainTest.test_lost_stage_calls_may_have_run",
        "unit-relay: a refusal promises only what is true",
        "unit-stage-owners: tasks that a lost owner had are never reported as "
        "not run",
        "unit-stages: stage failures"]),
    ("ROUTE, DENIED: routes and keys as configured", [
        PLATFORM + "RequestTest.test_refusals",
        PLATFORM + "LeavingTest.test_another_server_at_the_address_"
        "runs_nothing", "unit-serving: serving configuration"]),
    ("BUDGET: repeats stay below the bound", [
        "unit-relay: repeat budget"]),
    ("GONE: a caller that leaves ends the work", [
        PLATFORM + "RequestTest.test_caller_that_leaves_ends_the_work"]),
    ("ORDER: a stream whose origin nobody remembers is not joined", [
        "unit-stream-takeups", "unit-version-history",
        "platform_versions_test.LostProcessTest."
        "test_all_gateways_are_killed_and_callers_name_no_attempt",
        "platform_versions_test.LostProcessTest."
        "test_all_gateways_are_killed_and_the_old_version_is_gone",
        "platform_versions_test.OneVersionTest."
        "test_unknown_streams_go_on_after_all_gateways_and_the_leader"]),
    ("ORDER: a stream goes on without gap or repeat", [
        PLATFORM + "RequestTest.test_broken_stream_goes_on",
        "unit-serving: event splitter"]),
    ("a server that starts again under its id is another one", [
        PLATFORM + "StartAgainTest.test_nothing_is_held_of_the_former_start_"
        "of_a_stage_server",
        PLATFORM + "StartAgainTest.test_safe_request_in_hand_ends_elsewhere_"
        "or_may_have_run",
        PLATFORM + "StartAgainTest.test_kept_connections_end_with_their_"
        "start",
        "unit-server-incarnations: incarnations of backend servers",
        "unit-platform: platform servers that start again",
        "unit-relay: a restarted engine has no history",
        "unit-stages: stage failures"]),
    ("an entry of another writer names no server; the others hold", [
        "unit-platform: platform server entries of another writer"]),
    ("DRAIN: leaving servers get nothing more", [
        PLATFORM + "LeavingTest.test_a_leaving_server_gets_nothing_more",
        PLATFORM + "LeavingTest.test_the_list_is_read_without_control"]),
    ("EVAC: servers of drained failure domains get nothing more", [
        PLATFORM + "DrainTest.test_order_holds_until_it_is_taken_back",
        DRAIN + "taken_back_while_a_gateway_is_frozen",
        "unit-drain-schedules: drain orders hold from their acknowledgement",
        "unit-fleet-state: servers of drained failure domains are leaving",
        "unit-gateway-feed: updates depend on the version that a gateway "
        "holds",
        "unit-relay: fleet view"]),
    ("EVAC, DRAIN: stage pieces go to no leaving server", [
        "unit-stages: stage batches",
        PLATFORM + "DrainTest.test_order_holds_until_it_is_taken_back"]),
    ("LOST: acknowledged drain orders survive", [
        PLATFORM + "DrainTest.test_order_holds_until_it_is_taken_back",
        DRAIN + "leader_frozen_in_an_order",
        "unit-fleet-state: state of a fleet"]),
    ("Acks: drain orders are acknowledged, however often they are sent", [
        DRAIN + "leader_frozen_in_an_order",
        DRAIN + "no_quorum_acknowledges_nothing",
        DRAIN + "control_vms_start_again_beside_a_lost_one",
        "unit-cluster-member: a control VM knows that all members apply new "
        "commands",
        "unit-drain-schedules: drain orders hold from their acknowledgement"]),
    ("operators' calls: orders sent again are never refused, wrong ones are", [
        "unit-operator-api: orders to drain failure domains",
        PLATFORM + "DrainTest.test_what_is_no_order_is_refused",
        PLATFORM + "ConfigTest.test_versions",
        PLATFORM + "ConfigTest.test_invalid_documents_change_nothing"]),
    ("UNASKED: pieces are those of callers' requests, with their keys", [
        PLATFORM + "RequestTest.test_stages_and_stream"]),
    ("FAILBACK: wrong cold times and bounds leave no server unused", [
        "unit-platform: platform cold times",
        "unit-platform: platform bounds of cold servers",
        "unit-cold-servers: limits of a server that is cold",
        "unit-cold-servers: cold servers are known from server lists"]),
    ("LOST: planned work cuts nothing off", [
        PLATFORM + "StopTest.test_graceful_stop",
        PLATFORM + "StopTest.test_reload_cuts_nothing"]),
    ("CONFIG: the highest version, everywhere, never back", [
        PLATFORM + "ConfigTest.test_versions",
        PLATFORM + "ConfigTest.test_invalid_documents_change_nothing",
        PLATFORM + "ConfigTest.test_change_is_in_force",
        PLATFORM + "ConfigTest.test_a_large_document",
        "platform_config_test.LargeConfigTest.test_1_changes_overtake_what_"
        "a_stopped_gateway_has_not_read",
        "unit-gateway-feed: changes come faster than a gateway's link carries "
        "full documents",
        "unit-config-reader: a document reads the same after others as "
        "alone",
        "unit-serving: config register", "unit-relay: fleet view"]),
    ("RECOVER: what was acknowledged survives", [
        PLATFORM + "ControlLossTest.test_all_killed_at_once",
        PLATFORM + "ControlLossTest.test_each_disk_lost_in_turn",
        PLATFORM + "SpareControlTest.test_an_empty_vm_takes_a_lost_ones_place",
        "unit-membership-keeper: membership keeper"]),
    ("BUDGET, LOST: a prompt segment that crashes servers is stopped, and no "
     "other one", [
        "platform_crashing_segments_test.CrashBeforeReplyTest.test_one_segment_"
        "is_stopped",
        "platform_crashing_segments_test.CrashAfterHeadTest.test_two_segments_"
        "are_stopped",
        "unit-crash-ledger: a segment that crashes servers",
        "unit-crash-ledger: a fleet whose prompts share segments",
        "unit-crash-watch: a segment whose block is over",
        "unit-relay-crashes: requests with a suspect segment"]),
    ("BUDGET: servers get nothing for the time that they ask for", [
        "platform_server_backoffs_test.ServerBackoffsTest.test_engines",
        "platform_server_backoffs_test.ServerBackoffsTest.test_plain_servers",
        "platform_server_backoffs_test.ServerBackoffsTest.test_stage_servers",
        "platform_server_backoffs_test.ServerBackoffsTest.test_all_engines",
        "unit-server-backoffs: a server that refused with Retry-After"]),
    ("DRAIN: servers that say they leave get nothing more", [
        "platform_server_backoffs_test.LeavingServersTest.test_engines",
        "platform_server_backoffs_test.LeavingServersTest.test_plain_servers",
        "unit-leaving-servers: a server that was marked as leaving",
        "unit-leaving-servers: a reply that another gateway passes on"]),
    ("RECOVER: most new connections reach one gateway", [
        "platform_crowded_gateway_test.CrowdedGatewayTest.test_requests_that_"
        "may_repeat",
        "platform_crowded_gateway_test.CrowdedGatewayTest.test_requests_that_"
        "may_run_once",
        "unit-unread-requests: a listener that may read no more requests"]),
    ("all of it under random faults", [
        "platform_soak_test.PlatformSoakTest.test_short"]),
]


class Outcomes(unittest.TestResult):
    """Records the result of each test under "<module>.<class>.<test>"."""

    def __init__(self):
        super().__init__()
        self.by_test = {}

    def note(self, test, error):
        name = test.id().removeprefix("process.")
        text = str(error[1]).strip().splitlines() if error else []
        self.by_test[name] = text[0][:160] if text else "failed" if error else ""

    def addSuccess(self, test):
        self.by_test.setdefault(test.id().removeprefix("process."), "")

    def addFailure(self, test, err):
        self.note(test, err)

    def addError(self, test, err):
        self.note(test, err)

    def addSubTest(self, test, subtest, err):
        if err:
            self.note(test, err)


def run_process_tests(names, figures_path):
    """Runs the named tests; returns {test: "" or reason of the failure}."""
    os.environ["CITRONLANE_FIGURES"] = figures_path
    sys.path.insert(0, TESTS)
    outcomes = Outcomes()
    by_class = {}
    for name in sorted(names):
        by_class.setdefault(name.rsplit(".", 1)[0], []).append(name)
    for group in by_class.values():
        suite = unittest.TestSuite()
        for name in group:
            print(f"running {name}", file=sys.stderr)
            suite.addTests(unittest.defaultTestLoader.loadTestsFromName(
                "process." + name))
        suite.run(outcomes)
    return {name: outcomes.by_test.get(name, "did not run") for name in names}


def run_unit(name):
    """Runs a test program or one of its cases; returns the reason of its
    failure, or ""."""
    program, _, case = name.partition(": ")
    path = os.path.join(BUILD, "tests", program)
    if not os.path.exists(path):
        return "is not there"
    print(f"running {name}", file=sys.stderr)
    command = [path, case] if case else [path]
    done = subprocess.run(command, capture_output=True, text=True,
                          timeout=UNIT_SECONDS, check=False)
    if "No tests ran" in done.stdout + done.stderr:
        return "is not there"
    return "" if done.returncode == 0 else "failed"


def missing(tests):
    """Returns the named tests that do not exist, without running any."""
    sys.path.insert(0, TESTS)
    gone = []
    for test in sorted(tests):
        if test.startswith("unit-"):
            program, _, case = test.partition(": ")
            path = os.path.join(BUILD, "tests", program)
            names = subprocess.run(
                [path, "--list-test-names-only"], capture_output=True,
                text=True, timeout=UNIT_SECONDS, check=False).stdout if (
                    os.path.exists(path)) else ""
            if not names or (case and case not in names.splitlines()):
                gone.append(test)
        elif "_FailedTest" in str(unittest.defaultTestLoader.loadTestsFromName(
                "process." + test)):
            gone.append(test)
    return gone


def read_figures(path):
    """Returns {test: "name value, ..."}."""
    figures = {}
    with open(path, encoding="utf-8") as file:
        for line in file:
            entry = json.loads(line)
            name = entry.pop("test").removeprefix("process.")
            figures[name] = ", ".join(f"{key} {value}"
                                      for key, value in entry.items())
    return figures


def show(point, tests, outcomes, figures):
    """Prints the line of a guarantee; returns whether it is proved."""
    bad = [f"{test} {outcomes[test]}" for test in tests if outcomes[test]]
    if bad:
        print(f"UNPROVED {point}: {'; '.join(bad)}")
        return False
    measured = "; ".join(figures[test] for test in tests if test in figures)
    names = ", ".join(test.rsplit(".", 1)[-1] for test in tests)
    print(f"PROVED {point}: {names}" + (f", {measured}" if measured else ""))
    return True


def main():
    points = ALWAYS + FAILS + RULES
    tests = {test for _, names in points for test in names}
    if "--check" in sys.argv[1:]:
        gone = missing(tests)
        print("\n".join(gone) or f"all {len(tests)} named tests are there")
        return 1 if gone else 0
    units = {test for test in tests if test.startswith("unit-")}
    with tempfile.NamedTemporaryFile(suffix=".jsonl") as figures_file:
        outcomes = run_process_tests(tests - units, figures_file.name)
        figures = read_figures(figures_file.name)
    outcomes.update({test: run_unit(test) for test in units})
    proved = 0
    for title, group in (("What must always hold", ALWAYS),
                         ("What fails", FAILS),
                         ("Rules of the users' platform", RULES)):
        print(title)
        proved += sum(show(point, names, outcomes, figures)
                      for point, names in group)
    print(f"prove: {proved} of {len(points)} points proved")
    return 0 if proved == len(points) else 1


if __name__ == "__main__":
    sys.exit(main())
