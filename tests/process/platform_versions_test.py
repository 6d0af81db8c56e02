"""Tests that a stream goes on only at a server of the software version that
began it, within one response and over its caller's tries at all gateways, and
that it does go on while servers of its version serve."""

import json
import threading
import time
import unittest

from process.platform_streams import Stream, Try, VersionedFleet, run_all
from process.platform_test import FleetTestCase
from process.processes import wait_until

STREAMS = 16
# The timeout of the streams' route.
ROUTE_TIMEOUT_SECONDS = 8
# A stream has this many events, with the pause before the next one.
EVENTS = 50
PAUSE = 0.05
# How long a stream has been running when it is cut or its gateway ends.
BEGUN_SECONDS = 0.5
# How long the change of a server may take to reach all gateways.
LIST_SECONDS = 3
# The longest time in which a try is refused.
REFUSAL_SECONDS = 1
# A gateway's share of repeats in a window covers the breaks of so many rounds,
# even when all of its streams break.
ROUNDS_PER_WINDOW = 2


class OneVersionFleet(VersionedFleet):
    VERSIONS = ("v1",) * 4

    def start(self):
        super().start()
        # Until then another version may have begun a stream.
        time.sleep(ROUTE_TIMEOUT_SECONDS)


class VersionsTestCase(FleetTestCase):
    fleet_class = VersionedFleet
    gateways = 3

    def setUp(self):
        super().setUp()
        for engine in self.fleet.engines:
            engine.events, engine.pause = EVENTS, PAUSE

    def ask_all(self, streams, gateway_of, seconds=None):
        run_all([lambda stream=stream, index=index: stream.ask(
            gateway_of(index), seconds)
            for index, stream in enumerate(streams)])

    def cut_streams(self, gateway_of=lambda index: index % 3, version=None):
        """Returns streams that their callers cut, STREAMS of the version if it
        is given."""
        streams = []
        for _ in range(10):
            more = [Stream(self.fleet, EVENTS) for _ in range(STREAMS)]
            self.ask_all(more, gateway_of, BEGUN_SECONDS)
            for stream in more:
                self.assertTrue(stream.events, stream)
            streams += [stream for stream in more
                        if version in (None, stream.versions[0])]
            if len(streams) >= STREAMS:
                return streams[:STREAMS]
        self.fail(f"only {len(streams)} streams began at {version}")

    def begin(self, streams, gateway_of):
        """Begins streams and waits until they have run for BEGUN_SECONDS.
        Returns the thread that reads them to their ends."""
        thread = threading.Thread(target=self.ask_all,
                                  args=(streams, gateway_of))
        thread.start()
        for stream in streams:
            self.assertTrue(stream.begun.wait(10), "a stream did not begin")
        time.sleep(BEGUN_SECONDS)
        return thread

    def check(self, name, streams, least):
        """Checks that no stream holds two versions and that at least `least`
        of them went on to their ends."""
        mixed = [stream for stream in streams if len(stream.versions) > 1]
        went_on = sum(stream.went_on() for stream in streams)
        began = {version: sum(stream.events[:1] == [(0, version)]
                              for stream in streams)
                 for version in ("v1", "v2")}
        statuses = [stream.tries[-1].status for stream in streams]
        print(f"{name}: {len(streams)} streams, begun {began}; {len(mixed)} of "
              f"two versions, {went_on} went on; last statuses "
              f"{ {status: statuses.count(status) for status in statuses} }",
              flush=True)
        self.assertEqual([str(stream) for stream in mixed], [])
        lacking = [str(stream) for stream in streams if not stream.went_on()]
        self.assertGreaterEqual(went_on, least, "\n".join(lacking))

    def check_refused(self, one):
        self.assertEqual(one.status, 503, one.body)
        self.assertIn("retry-after", one.headers)
        self.assertLess(one.seconds, REFUSAL_SECONDS)
        self.assertEqual(self.runs(self.fleet.engines, one.id), 0)

    def check_new_streams_are_served(self):
        streams = [Stream(self.fleet, EVENTS) for _ in range(6)]
        self.ask_all(streams, lambda index: index % 3)
        for stream in streams:
            self.assertTrue(stream.went_on(), stream)

    def leader(self):
        """Returns the address of the leader among the control VMs."""
        def roles(ip):
            lines = [json.loads(line) for line in
                     self.fleet.processes[ip].log_since_start().splitlines()]
            return [line.get("role") for line in lines
                    if line["event"] == "role changed"]
        leaders = [ip for ip in self.fleet.control_ips
                   if self.fleet.processes[ip].running() and
                   roles(ip)[-1:] == ["leader"]]
        return leaders[0] if len(leaders) == 1 else None

    def start_killed(self):
        """Starts what the test killed, for the tests after it."""
        for ip in self.fleet.control_ips:
            if not self.fleet.processes[ip].running():
                self.fleet.start_control(ip)
        for ip in self.fleet.gateway_ips:
            if not self.fleet.processes[ip].running():
                self.fleet.start_gateway(ip)
        for ip in self.fleet.control_ips:
            wait_until(lambda ip=ip: self.fleet.is_voter(ip), f"{ip} a voter")
        self.fleet.wait_ready()


class BrokenStreamTest(VersionsTestCase):

    def test_within_one_response(self):
        """One engine of each version breaks its streams, in turn."""
        for engine in self.fleet.engines:
            engine.pause = 0.0
        broken = []
        for index in range(10):
            if index % ROUNDS_PER_WINDOW == 0:
                time.sleep(self.fleet.BUDGET_WINDOW_S)
            for engine in self.fleet.engines[index % 2::2]:
                engine.faults.extend(["break"] * STREAMS)
            streams = [Stream(self.fleet, EVENTS) for _ in range(STREAMS)]
            self.ask_all(streams, lambda index: index % 3)
            self.setUp()
            for engine in self.fleet.engines:
                engine.pause = 0.0
            broken += [stream for stream in streams if not stream.went_on() or
                       self.runs(self.fleet.engines, stream.tries[0].id) > 1]
            if len(broken) >= 2 * STREAMS:
                break
        self.assertGreaterEqual(len(broken), STREAMS, "too few breaks to test")
        self.check("broken within one response", broken, len(broken))

    def test_cut_by_the_caller(self):
        streams = self.cut_streams()
        self.ask_all(streams, lambda index: (index + 1) % 3)
        self.check("cut by the caller", streams, STREAMS)

    def test_cut_by_the_caller_while_engines_leave(self):
        streams = self.cut_streams()
        for engine in self.fleet.engines[::2]:
            engine.state = "draining"
            self.addCleanup(time.sleep, LIST_SECONDS)
            self.addCleanup(setattr, engine, "state", "ready")
        time.sleep(LIST_SECONDS)
        self.ask_all(streams, lambda index: (index + 1) % 3)
        self.check("cut, engines leave", streams, STREAMS // 2)

    def test_taken_up_twice(self):
        streams = self.cut_streams()
        self.ask_all(streams, lambda index: (index + 1) % 3, BEGUN_SECONDS)
        for stream in streams:
            self.assertEqual(stream.tries[1].status, 200, stream)
        self.ask_all(streams, lambda index: (index + 2) % 3)
        self.check("taken up twice", streams, STREAMS)

    def test_taken_up_twice_at_one_gateway(self):
        """The gateway that is asked last brought the first events."""
        streams = self.cut_streams()
        self.ask_all(streams, lambda index: (index + 1) % 3, BEGUN_SECONDS)
        self.ask_all(streams, lambda index: index % 3)
        self.check("taken up twice, back at the first", streams, STREAMS)


class LostProcessTest(VersionsTestCase):

    def test_gateway_is_killed(self):
        streams = [Stream(self.fleet, EVENTS) for _ in range(STREAMS)]
        self.addCleanup(self.start_killed)
        reading = self.begin(streams, lambda _: 0)
        self.fleet.processes[self.fleet.gateway_ips[0]].kill()
        reading.join()
        self.ask_all(streams, lambda index: 1 + index % 2)
        self.check("gateway killed", streams, STREAMS // 2)

    def test_all_gateways_are_killed(self):
        streams = [Stream(self.fleet, EVENTS) for _ in range(STREAMS)]
        self.addCleanup(self.start_killed)
        reading = self.begin(streams, lambda index: index % 3)
        for ip in self.fleet.gateway_ips:
            self.fleet.processes[ip].kill()
        reading.join()
        for ip in self.fleet.gateway_ips:
            self.fleet.start_gateway(ip)
        self.fleet.wait_ready()
        self.ask_all(streams, lambda index: (index + 1) % 3)
        self.check("all gateways killed", streams, STREAMS // 2)

    def test_leader_and_gateway_are_killed(self):
        leader = wait_until(self.leader, "a leader")
        streams = [Stream(self.fleet, EVENTS) for _ in range(STREAMS)]
        self.addCleanup(self.start_killed)
        reading = self.begin(streams, lambda _: 0)
        self.fleet.processes[leader].kill()
        self.fleet.processes[self.fleet.gateway_ips[0]].kill()
        reading.join()
        wait_until(self.leader, "another leader")
        self.ask_all(streams, lambda index: 1 + index % 2)
        self.check("leader and gateway killed", streams, STREAMS // 2)


    def restart_gateways(self):
        for ip in self.fleet.gateway_ips:
            self.fleet.processes[ip].kill()
        for ip in self.fleet.gateway_ips:
            self.fleet.start_gateway(ip)
        self.fleet.wait_ready()

    def check_after_old_version(self, name, names_attempt):
        """All gateways are killed as streams of v1 begin, and its last server
        is gone. The callers take them up when their route's timeout has passed
        since then: they have more time than one attempt may take."""
        streams = [Stream(self.fleet, EVENTS, names_attempt)
                   for _ in range(2 * STREAMS)]
        listed = self.fleet.list.servers
        self.addCleanup(time.sleep, LIST_SECONDS)
        self.addCleanup(setattr, self.fleet.list, "servers", listed)
        self.addCleanup(self.start_killed)
        thread = threading.Thread(target=self.ask_all,
                                  args=(streams, lambda index: index % 3))
        thread.start()
        for stream in streams:
            self.assertTrue(stream.begun.wait(10), "a stream did not begin")
        for ip in self.fleet.gateway_ips:
            self.fleet.processes[ip].kill()
        thread.join()
        self.fleet.list.servers = [server for server in listed
                                   if server not in self.fleet.engines[:2]]
        self.restart_gateways()
        time.sleep(LIST_SECONDS + ROUTE_TIMEOUT_SECONDS)
        begun = [stream for stream in streams
                 if stream.events[:1] == [(0, "v1")]]
        self.assertTrue(begun, "no stream began at v1")
        self.ask_all(begun, lambda index: (index + 1) % 3)
        self.check(name, begun, 0)
        for stream in begun:
            self.check_refused(stream.tries[-1])

    def test_all_gateways_are_killed_and_the_old_version_is_gone(self):
        self.check_after_old_version("all killed, old version gone", True)

    def test_all_gateways_are_killed_and_callers_name_no_attempt(self):
        self.check_after_old_version("all killed, no attempt named", False)


class RefusalTest(VersionsTestCase):

    def check_without(self, gone, draining):
        """Takes streams of v2 up while these engines are not listed and those
        are leaving."""
        streams = self.cut_streams(version="v2")
        listed = self.fleet.list.servers
        self.addCleanup(time.sleep, LIST_SECONDS)
        self.addCleanup(setattr, self.fleet.list, "servers", listed)
        for engine in draining:
            self.addCleanup(setattr, engine, "state", "ready")
            engine.state = "draining"
        self.fleet.list.servers = [server for server in listed
                                   if server not in gone]
        time.sleep(LIST_SECONDS)
        self.ask_all(streams, lambda index: (index + 1) % 3)
        statuses = [stream.tries[-1].status for stream in streams]
        print(f"no server of the version: statuses {statuses}", flush=True)
        for stream in streams:
            self.check_refused(stream.tries[-1])
        self.check_new_streams_are_served()

    def test_last_engine_of_the_version_leaves(self):
        self.check_without([self.fleet.engines[2]], [self.fleet.engines[3]])

    def test_no_engine_of_the_version(self):
        self.check_without(self.fleet.engines[2:], [])

    def test_unknown_stream(self):
        tries = []

        def ask(gateway):
            stream = Stream(self.fleet, EVENTS)
            unknown = Try(gateway)
            unknown.events = [(number, "v1") for number in range(4)]
            stream.tries.append(unknown)
            tries.append(stream.ask(gateway))

        run_all([lambda index=index: ask(index % 3)
                 for index in range(STREAMS)])
        print(f"unknown: statuses {[one.status for one in tries]}", flush=True)
        for one in tries:
            self.check_refused(one)
        self.check_new_streams_are_served()


class OneVersionTest(VersionsTestCase):
    fleet_class = OneVersionFleet

    def test_unknown_stream_goes_on(self):
        """All that any server has written fits together."""
        streams = [Stream(self.fleet, EVENTS) for _ in range(STREAMS)]
        for stream in streams:
            unknown = Try(0)
            unknown.events = [(number, "v1") for number in range(4)]
            stream.tries.append(unknown)
        self.ask_all(streams, lambda index: index % 3)
        self.check("unknown, one version", streams, STREAMS)

    def test_unknown_streams_go_on_after_all_gateways_and_the_leader(self):
        streams = [Stream(self.fleet, EVENTS, names_attempt=False)
                   for _ in range(STREAMS)]
        self.addCleanup(self.start_killed)
        leader = wait_until(self.leader, "a leader")
        reading = self.begin(streams, lambda index: index % 3)
        self.fleet.processes[leader].kill()
        for ip in self.fleet.gateway_ips:
            self.fleet.processes[ip].kill()
        reading.join()
        wait_until(self.leader, "another leader")
        for ip in self.fleet.gateway_ips:
            self.fleet.start_gateway(ip)
        self.fleet.wait_ready()
        self.ask_all(streams, lambda index: (index + 1) % 3)
        self.check("unknown after all and the leader, one version", streams,
                   STREAMS)


class OutdatedListTest(VersionsTestCase):

    def test_engine_starts_again_with_another_version(self):
        """The list shows the old entry of an engine that started again with
        another version. Its streams break, and those of the other engine that
        is listed with the old version."""
        streams, former = [], []
        for first, version in ((0, "v2"), (2, "v1")):
            more = [Stream(self.fleet, EVENTS) for _ in range(2 * STREAMS)]
            reading = self.begin(more, lambda index: index % 3)
            engine, other = self.fleet.engines[first:first + 2]
            former.append(engine)
            engine.next_start_options = {"version": version}
            again = engine.next_start(2000)
            again.events, again.pause = EVENTS, PAUSE
            self.addCleanup(again.close)
            engine.cut_connections()
            other.cut_connections()
            reading.join()
            self.ask_all([stream for stream in more
                          if not stream.tries[0].whole],
                         lambda index: (index + 1) % 3)
            streams += more
            # The list shows what serves before the next engine starts again.
            self.fleet.engines[first] = again
            self.fleet.list.servers = [
                again if server is engine else server
                for server in self.fleet.list.servers]
            time.sleep(LIST_SECONDS)
        broken = [stream for stream in streams if len(stream.tries) > 1 or
                  self.runs(self.fleet.engines + former,
                            stream.tries[0].id) > 1]
        self.assertGreaterEqual(len(broken), STREAMS, "too few breaks to test")
        self.check("outdated list", streams, 0)


if __name__ == "__main__":
    unittest.main()
