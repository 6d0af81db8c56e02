"""Tests that a sound server which falls silent and then goes on costs no caller
its response. A gateway that leaves such a server without another one that
answers would close the stream, or refuse a request that is being run."""

import json
import threading
import time
import unittest

from process.platform_fleet import Fleet, new_id
from process.platform_stand_in import Engine, PlainServer
from process.platform_test import FleetTestCase, SettledFleet
from process.processes import wait_until

STREAMS = 12


class SilentFleet(Fleet):
    """No request may be repeated."""

    def settings(self, ip, name, listen, **more):
        settings = super().settings(ip, name, listen, **more)
        settings["bounds"].update(retry_budget_ratio=0.0, budget_extra=0)
        return settings


class ThreeServerFleet(SettledFleet):
    """Three servers of each kind, and as many attempts."""

    def _make_servers(self, stages):
        super()._make_servers(stages)
        ip = f"{self.net}.200"
        self.engines.append(Engine(ip, "models", "e2", "a"))
        self.plain.append(PlainServer(ip, "shop", "p2", "a"))
        self.list.servers = self.engines + self.plain + self.stages

    def make_document(self, **changes):
        document = super().make_document(**changes)
        for route in document["routes"]:
            if route["name"] != "once":
                route.update(max_attempts=3, timeout_ms=8000)
        return document


class SilenceTestCase(FleetTestCase):
    def ask_all(self, count, method, path, ids=None):
        """Returns the answers to requests sent at the same time, with the
        request ids `ids` if these are set."""
        answers = [None] * count

        def ask(index):
            answers[index] = self.fleet.ask(
                method, path, request_id=ids[index] if ids else new_id(),
                gateway=index % self.gateways)

        threads = [threading.Thread(target=ask, args=(index,))
                   for index in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    def check_streams(self, answers):
        for answer in answers:
            self.assertEqual(answer.status, 200, answer.body)
            self.assertTrue(answer.whole, answer.body)
            numbers = [line for line in answer.body.decode().splitlines()
                       if line.startswith("id: ")]
            self.assertEqual(numbers, [f"id: {i}" for i in range(6)])

    def set_faults(self, servers, fault, count=4 * STREAMS):
        for server in servers:
            server.faults.extend([fault] * count)

    def set_faults_in_turn(self, servers, faults, pause_seconds=None):
        """The next requests to any of the servers get these faults, in this
        order; a pause lasts `pause_seconds`, if that is set."""
        shared = list(faults)
        for server in servers:
            self.addCleanup(setattr, server, "faults", [])
            server.faults = shared
            if pause_seconds is not None:
                self.addCleanup(delattr, server, "pause_seconds")
                server.pause_seconds = pause_seconds

    def arrivals(self, servers, request_id):
        """Returns servers and times at which the request came, in order."""
        return sorted(((server, request.arrived) for server in servers
                       for request in list(server.requests)
                       if request.id == request_id),
                      key=lambda arrival: arrival[1])

    def events_of(self, request_id):
        """Returns what the gateways logged about a request."""
        lines = [json.loads(line) for line in self.fleet.log().splitlines()
                 if request_id in line]
        return [line["event"] for line in lines
                if line.get("request") == request_id]


class NoRepeatsTest(SilenceTestCase):
    fleet_class = SilentFleet

    def test_streams_go_on_at_their_server(self):
        self.set_faults(self.fleet.engines, "pause")
        self.check_streams(self.ask_all(STREAMS, "POST", "/chat/x"))

    def test_streams_go_on_beside_a_change_of_the_configuration(self):
        self.set_faults(self.fleet.engines, "pause")
        change = threading.Timer(1.0, lambda: self.fleet.put_until_taken(
            self.fleet.make_document()))
        change.start()
        answers = self.ask_all(STREAMS, "POST", "/chat/x")
        change.join()
        self.check_streams(answers)

    def test_streams_begin_late(self):
        for engine in self.fleet.engines:
            engine.pause_seconds = 3.0
            self.addCleanup(setattr, engine, "pause_seconds", 2.0)
        self.set_faults(self.fleet.engines, "late")
        self.check_streams(self.ask_all(STREAMS, "POST", "/chat/x"))

    def test_whole_responses_come_late(self):
        self.set_faults(self.fleet.plain, "late")
        for answer in self.ask_all(STREAMS, "GET", "/look/x"):
            self.assertEqual(answer.status, 200, answer.body)


class EndedServerTest(SilenceTestCase):
    fleet_class = SilentFleet

    def test_a_silent_server_ends(self):
        self.set_faults_in_turn(self.fleet.plain, ["hang"])
        request_id = new_id()

        def kill():
            (server, _), = self.arrivals(self.fleet.plain, request_id)
            server.stop_listening()
            server.cut_connections()

        change = threading.Timer(2.0, kill)
        change.start()
        answer = self.fleet.ask("GET", "/look/x", request_id=request_id)
        change.join()
        self.assertEqual(answer.status, 502, answer.body)
        wait_until(lambda: '"server ended"' in self.fleet.log(),
                   "the end seen")


class RepeatsTest(SilenceTestCase):
    fleet_class = SettledFleet

    def test_no_other_server_takes_the_stream(self):
        paused, other = self.fleet.engines
        for first, second in ((paused, other), (other, paused)):
            self.set_faults([first], "pause", 1)
            self.set_faults([second], "not_run")
            self.check_streams([self.fleet.ask("POST", "/chat/x")])
            self.setUp()

    def test_servers_fall_silent_in_turn(self):
        self.set_faults(self.fleet.engines, "pause")
        self.check_streams(self.ask_all(STREAMS, "POST", "/chat/x"))

    def test_a_server_that_stays_silent_is_left(self):
        for engine in self.fleet.engines:
            engine.pause_seconds = 20
            self.addCleanup(setattr, engine, "pause_seconds", 2.0)
        self.set_faults(self.fleet.engines[:1], "pause")
        self.check_streams(self.ask_all(2, "POST", "/chat/x"))

    def test_no_other_server_answers_a_whole_request(self):
        late, other = self.fleet.plain
        for first, second in ((late, other), (other, late)):
            self.set_faults([first], "late", 1)
            self.set_faults([second], "not_run")
            answer = self.fleet.ask("GET", "/look/x")
            self.assertEqual(answer.status, 200, answer.body)
            self.setUp()

    def test_a_stream_falls_silent_twice(self):
        # The server goes on during the next call, or while the stages run for
        # it.
        for attempts, faults, call_seconds in (
                (4, ["pause_twice", "late"], 0.02),
                (3, ["pause_twice", "not_run"], 0.2)):
            self.put_attempts(attempts)
            for stage in self.fleet.stages:
                stage.call_seconds = call_seconds
                self.addCleanup(setattr, stage, "call_seconds", 0.02)
            self.set_faults_in_turn(self.fleet.engines, faults, 1.35)
            self.check_streams([self.fleet.ask("POST", "/chat/x")])
            self.doCleanups()

    def put_attempts(self, count):
        routes = self.fleet.make_document()["routes"]
        for route in routes:
            if route["name"] != "once":
                route["max_attempts"] = count
        self.put(routes=routes)
        self.addCleanup(self.put)

    def test_late_failure_of_the_silent_server(self):
        for fault in ("late_not_run", "late_error", "late_close"):
            with self.subTest(fault):
                self.set_faults_in_turn(self.fleet.plain, [fault, "wait"], 1.35)
                answer = self.fleet.ask("GET", "/look/x")
                self.assertEqual(answer.status, 200, answer.body)
            self.doCleanups()

    def test_the_silent_server_is_left_soon_after_the_next_call(self):
        self.set_faults_in_turn(self.fleet.plain, ["hang", "late"], 1.0)
        request_id = new_id()
        answer = self.fleet.ask("GET", "/look/x", request_id=request_id)
        self.assertEqual(answer.status, 200, answer.body)
        (first, _), (_, called) = self.arrivals(self.fleet.plain, request_id)
        wait_until(lambda: request_id in first.given_up, "the call closed")
        self.assertLess(first.given_up[request_id] - called, 0.4)

    def test_the_next_server_answers_with_a_failure_of_the_caller(self):
        self.set_faults_in_turn(self.fleet.plain, ["late", "absent"])
        answer = self.fleet.ask("GET", "/look/x")
        self.assertEqual(answer.status, 404, answer.body)

    def test_the_next_server_fails(self):
        self.set_faults_in_turn(self.fleet.plain, ["late", "error"])
        answer = self.fleet.ask("GET", "/look/x")
        self.assertEqual(answer.status, 200, answer.body)

    def test_a_silent_server_that_is_gone_from_the_list(self):
        self.set_faults_in_turn(self.fleet.engines, ["pause", "not_run"], 20)
        listed = self.fleet.list.servers
        self.addCleanup(setattr, self.fleet.list, "servers", listed)
        request_id = new_id()

        def leave():
            (first, _), = self.arrivals(self.fleet.engines, request_id)
            self.fleet.list.servers = [server for server in listed
                                       if server is not first]

        change = threading.Timer(0.4, leave)
        change.start()
        begun = time.monotonic()
        answer = self.fleet.ask("POST", "/chat/x", request_id=request_id)
        change.join()
        self.assertFalse(answer.whole)
        self.assertLess(time.monotonic() - begun, 4)

    def test_no_repeat_after_the_deadline(self):
        self.set_faults_in_turn(self.fleet.plain, ["hang"])
        request_id = new_id()
        answer = self.fleet.ask("GET", "/look/x", request_id=request_id,
                                X_Citronlane_Deadline_Ms="800")
        self.assertEqual(answer.status, 504)
        self.assertNotIn("retry", self.events_of(request_id))

    def test_the_silent_server_fails_and_no_other_took_it(self):
        self.put_attempts(3)
        self.set_faults_in_turn(self.fleet.plain, ["late_error", "not_run"])
        answer = self.fleet.ask("GET", "/look/x")
        self.assertEqual(answer.status, 500, answer.body)
        self.assertIn("x-citronlane-response-seal", answer.headers)

    def test_inputs_are_lost_beside_a_silent_server(self):
        self.set_faults_in_turn(self.fleet.engines,
                                ["pause", "inputs_gone", "not_run"])
        request_id = new_id()
        self.check_streams([self.fleet.ask("POST", "/chat/x",
                                           request_id=request_id)])
        called = [server for server, _ in
                  self.arrivals(self.fleet.engines, request_id)]
        self.assertEqual(called.count(called[0]), 1)

    def test_many_whole_requests_at_once(self):
        late, other = self.fleet.plain
        for first, second in ((late, other), (other, late)):
            self.set_faults([first], "late")
            self.set_faults([second], "not_run")
            ids = [new_id() for _ in range(STREAMS)]
            for request_id, answer in zip(ids, self.ask_all(
                    STREAMS, "GET", "/look/x", ids)):
                runs = self.runs(self.fleet.plain, request_id)
                self.assertTrue(
                    answer.status == 200 or (answer.status == 503 and not runs),
                    f"{answer.status} after {runs} runs: {answer.body}")
            self.setUp()


class ThreeServersTest(SilenceTestCase):
    fleet_class = ThreeServerFleet

    def test_the_silent_server_ends_and_the_next_is_silent(self):
        self.set_faults_in_turn(self.fleet.plain, ["late_close", "hang"], 1.35)
        answer = self.fleet.ask("GET", "/look/x")
        self.assertEqual(answer.status, 200, answer.body)

    def test_a_continuation_fails(self):
        self.set_faults_in_turn(self.fleet.engines, ["break", "absent"])
        self.check_streams([self.fleet.ask("POST", "/chat/x")])


if __name__ == "__main__":
    unittest.main()
