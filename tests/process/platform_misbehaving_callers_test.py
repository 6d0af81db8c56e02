"""Tests that callers who don't keep to the limits neither end a process nor take
it over its memory or descriptors, and that ordinary requests are answered."""

import struct
import time
import unittest

from process.platform_fleet import Fleet, new_id
from process.platform_stand_in import PlainServer
from process.platform_test import FleetTestCase
from process.processes import wait_until
from process.resource_watch import BLOCK, Crowd, IdleCrowd, ResourceWatch

MEMORY_MB = 96
MAX_DESCRIPTORS = 400
CALLERS = 24
SECONDS = 4
MAX_BODY_BYTES = 4 << 20
# Attempts of an ordinary caller while others misbehave, and the pause between
# two of them.
ATTEMPTS = 3
PAUSE_SECONDS = 1
SERVER_SECONDS = 2.0
LARGE_REPLY_BYTES = 1 << 20

CHUNKED = (b"POST /look/x HTTP/1.1\r\nHost: svc.example\r\n"
           b"X-Citronlane-Request-Id: %d\r\nApi-Key: key-one\r\n"
           b"Transfer-Encoding: chunked\r\n\r\n")
# Name, what is sent once, what is sent again and again.
ENDLESS = [
    ("request line", b"GET /look/", BLOCK),
    ("header", b"GET /look/x HTTP/1.1\r\nHost: svc.example\r\nX: ", BLOCK),
    ("chunk extension", CHUNKED % 1 + b"5;x=", BLOCK),
    ("trailer", CHUNKED % 2 + b"5\r\nhello\r\n0\r\nX-Trailer: ", BLOCK),
    ("trailers", CHUNKED % 3 + b"5\r\nhello\r\n0\r\n", b"X: y\r\n" * 4096),
    ("chunks", CHUNKED % 4, b"1\r\na\r\n" * 8192),
    ("large chunks", CHUNKED % 5, b"10000\r\n" + BLOCK + b"\r\n"),
]


class SlowServer(PlainServer):
    """Takes a while for requests below /look/slow, and has large replies to
    those below /look/large."""

    def answer(self, connection, request, fault=None):
        if request.target.startswith("/look/slow"):
            time.sleep(SERVER_SECONDS)
        if request.target.startswith("/look/large"):
            self.note_run(request.id)
            connection.reply(200, b"x" * LARGE_REPLY_BYTES,
                             [self.seal(request)], request.id)
            return
        super().answer(connection, request, fault)


class LimitedFleet(Fleet):
    """Processes with little memory and few descriptors."""

    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS

    def _make_servers(self, stages):
        super()._make_servers(stages)
        for server in self.plain:
            server.close()
        self.plain = [SlowServer(f"{self.net}.200", "shop", f"p{i}", "ab"[i])
                      for i in range(2)]
        self.list.servers = self.engines + self.plain + self.stages

    def settings(self, ip, name, listen, **more):
        settings = super().settings(ip, name, listen, **more)
        settings["limits"] = {"memory_mb": self.memory_mb,
                              "max_fds": self.max_descriptors}
        return settings


class MisbehavingCase(FleetTestCase):
    fleet_class = LimitedFleet
    gateways = 1

    def setUp(self):
        super().setUp()
        self.gateway = self.fleet.gateway_ips[0]
        self.callers = (self.gateway, self.fleet.ports["front"])

    def watch(self, ip):
        return ResourceWatch(self.fleet.processes[ip].child.pid,
                             self.fleet.memory_mb << 20)

    def check(self, watch, ip=None):
        """The process lives and has kept its limits."""
        print(f"{self.id()}: {watch.peak_bytes >> 20} of "
              f"{watch.max_bytes >> 20} MB, {watch.peak_descriptors} of "
              f"{self.fleet.max_descriptors} descriptors", flush=True)
        self.assertTrue(self.fleet.processes[ip or self.gateway].running())
        self.assertGreater(watch.peak_descriptors, 0)
        self.assertLessEqual(watch.peak_bytes, watch.max_bytes)
        self.assertLessEqual(watch.peak_descriptors,
                             self.fleet.max_descriptors)

    def is_served(self, body=b""):
        try:
            return self.fleet.ask("POST", "/look/x", body).status == 200
        except OSError:
            return False

    def check_served_meanwhile(self, body=b""):
        for _ in range(ATTEMPTS):
            if self.is_served(body):
                return
            time.sleep(PAUSE_SECONDS)
        self.fail("no ordinary request was served")

    def check_served_after(self):
        wait_until(self.is_served, "an ordinary request is served")


class EndlessInputTest(MisbehavingCase):
    """Input without an end, at each listener of a gateway and of control."""

    def check_endless(self, ip, port, callers):
        for name, head, block in ENDLESS:
            with self.subTest(name):
                with self.watch(ip) as watch:
                    with Crowd((ip, port), callers, head, block,
                               watch.exceeded):
                        watch.exceeded.wait(SECONDS)
                self.check(watch, ip)
                self.check_served_after()

    def test_callers(self):
        self.check_endless(*self.callers, CALLERS)

    def test_forwarded_requests(self):
        self.check_endless(self.gateway, self.fleet.ports["inner"] + 2,
                           CALLERS)

    def test_readiness(self):
        self.check_endless(self.gateway, self.fleet.ports["ready"], CALLERS)

    def test_metrics(self):
        self.check_endless(self.gateway, 9464, CALLERS)

    def test_operators(self):
        self.check_endless(self.fleet.control_ips[0],
                           self.fleet.ports["control"], CALLERS)


class ManyConnectionsTest(MisbehavingCase):
    """Connections on which nothing, or no whole request, is sent."""

    CONNECTIONS = 1000

    def check_connections(self, head, body=b"", count=CONNECTIONS):
        with self.watch(self.gateway) as watch:
            with IdleCrowd(self.callers, count, head):
                self.check_served_meanwhile(body)
        self.check(watch)
        self.check_served_after()

    def test_idle(self):
        self.check_connections(b"")

    def test_stalled_heads(self):
        self.check_connections(b"GET /look/x HTTP/1.1\r\nHost: ")

    def test_stalled_bodies(self):
        self.check_connections(
            self.fleet.head("POST", "/look/x", "1",
                            Content_Length=str(MAX_BODY_BYTES)) + b"x",
            b"y" * 100_000)

    def test_stalled_chunks(self):
        self.check_connections(CHUNKED % 1 + b"10\r\n", b"y" * 100_000)

    def test_half_sent_bodies(self):
        self.check_connections(
            self.fleet.head("POST", "/look/x", "1",
                            Content_Length=str(MAX_BODY_BYTES)) +
            b"x" * (MAX_BODY_BYTES // 2), b"y" * 100_000, CALLERS)

    def test_all_listeners(self):
        ports = (self.fleet.ports["front"], self.fleet.ports["ready"], 9464,
                 self.fleet.ports["inner"] + 1, self.fleet.ports["inner"] + 2)
        with self.watch(self.gateway) as watch:
            crowds = [IdleCrowd((self.gateway, port), MAX_DESCRIPTORS)
                      for port in ports]
            self.check_served_meanwhile()
            for crowd in crowds:
                crowd.__exit__()
        self.check(watch)
        self.check_served_after()

    def test_operators(self):
        ip = self.fleet.control_ips[0]
        with self.watch(ip) as watch:
            with IdleCrowd((ip, self.fleet.ports["control"]),
                           self.CONNECTIONS):
                wait_until(lambda: self.fleet.get(ip) is not None,
                           "an operator's call is answered")
        self.check(watch, ip)
        self.check_served_after()


class RoomyFleet(LimitedFleet):
    memory_mb = 160
    max_descriptors = 4100


class ManyStalledHeadsTest(MisbehavingCase):
    """As many stalled heads as the gateway reads requests."""

    fleet_class = RoomyFleet

    def test_stalled_heads(self):
        with self.watch(self.gateway) as watch:
            with IdleCrowd(self.callers, 600,
                           b"GET /look/x HTTP/1.1\r\nHost: "):
                self.check_served_meanwhile()
        self.check(watch)
        self.check_served_after()


class LargeRequestsTest(MisbehavingCase):
    """Requests within each limit that take more memory than their bytes."""

    def check_crowd(self, callers, head, block=b"", reads=True):
        with self.watch(self.gateway) as watch:
            with Crowd(self.callers, callers, head, block, watch.exceeded,
                       reads):
                watch.exceeded.wait(SECONDS)
        self.check(watch)
        self.check_served_after()

    def test_many_header_fields(self):
        head = self.fleet.head("GET", "/look/slow", "1")[:-2]
        fields = b"a:\r\n" * ((16000 - len(head)) // 4)
        self.check_crowd(200, head + fields + b"\r\n")

    def test_many_prompt_segments(self):
        head = self.fleet.head(
            "POST", "/chat/x", "1", Content_Length="0",
            X_Citronlane_Prompt_Prefix=",".join(["a:1"] * 3800))
        self.check_crowd(200, head)

    def test_bytes_behind_a_request(self):
        self.check_crowd(70, self.fleet.head("GET", "/look/slow", "1"), BLOCK)

    def test_largest_bodies(self):
        body = b"x" * MAX_BODY_BYTES
        self.check_crowd(CALLERS, self.fleet.head(
            "POST", "/look/slow", "1", body) + body)

    def test_largest_chunked_bodies(self):
        size = MAX_BODY_BYTES - 1
        body = b"%x\r\n" % size + b"x" * size + b"\r\n0\r\n\r\n"
        self.check_crowd(CALLERS, CHUNKED.replace(b"/look/x", b"/look/slow") %
                         1 + body)

    def test_replies_that_are_not_read(self):
        request = self.fleet.head("GET", "/look/large", "1")
        self.check_crowd(70, request * 8, reads=False)

    def test_more_pieces_than_any_memory_holds(self):
        for pieces in ("4294967295,1", "1,4294967295", "200000000,200000000",
                       ",".join(["4294967295"] * 1000)):
            with self.subTest(pieces[:40]):
                with self.watch(self.gateway) as watch:
                    answer = self.fleet.ask(
                        "POST", "/chat/x", b"", new_id(),
                        X_Citronlane_Pieces=pieces)
                self.check(watch)
                self.assertGreaterEqual(answer.status, 400)
        self.assertEqual(self.fleet.ask("POST", "/chat/x").status, 200)


class SmallestFleet(LimitedFleet):
    """The smallest VMs that any deployment of the platform names."""

    memory_mb = 120
    max_descriptors = 3075


class BothListenersTest(MisbehavingCase):
    """Callers and forwarded requests take all that they may at once."""

    fleet_class = SmallestFleet

    def test_both_full(self):
        body = b"x" * MAX_BODY_BYTES
        forwarded = (self.gateway, self.fleet.ports["inner"] + 2)
        large = self.fleet.head("POST", "/look/slow", "1", body)
        passed_on = self.fleet.head("POST", "/look/slow", "1", body,
                                    Gateway_Peer_Age_Ms="0",
                                    Gateway_Peer_Config="1")
        stalled = b"GET /look/x HTTP/1.1\r\nHost: "
        with self.watch(self.gateway) as watch:
            with IdleCrowd(self.callers, 700), \
                    IdleCrowd(self.callers, 700, stalled), \
                    IdleCrowd(forwarded, 400, stalled), \
                    Crowd(self.callers, CALLERS, large + body, b"",
                          watch.exceeded, True), \
                    Crowd(forwarded, CALLERS, passed_on + body, b"",
                          watch.exceeded, True):
                watch.exceeded.wait(SECONDS)
                self.check_served_meanwhile()
        self.check(watch)
        self.check_served_after()


class FramesTest(MisbehavingCase):
    """Large frames at the port of the fleet's own processes, of which little or
    almost all is sent."""

    HEAD = struct.pack(">I", 60 << 20) + b"x"

    def check_frames(self, ip, port):
        with self.watch(ip) as watch:
            with IdleCrowd((ip, port), CALLERS, self.HEAD):
                time.sleep(1)
        self.check(watch, ip)
        self.check_served_after()

    def check_whole_frames(self, ip, port):
        with self.watch(ip) as watch:
            with Crowd((ip, port), CALLERS, self.HEAD, BLOCK, watch.exceeded):
                watch.exceeded.wait(SECONDS)
        self.check(watch, ip)
        self.check_served_after()

    def test_gateway(self):
        self.check_frames(self.gateway, self.fleet.ports["inner"] + 1)

    def test_control(self):
        self.check_frames(self.fleet.control_ips[0],
                          self.fleet.ports["inner"])

    def test_whole_frames_at_a_gateway(self):
        self.check_whole_frames(self.gateway, self.fleet.ports["inner"] + 1)

    def test_whole_frames_at_control(self):
        self.check_whole_frames(self.fleet.control_ips[0],
                                self.fleet.ports["inner"])


if __name__ == "__main__":
    unittest.main()
