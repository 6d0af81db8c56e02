"""Tests that callers of the own interface, and of the administration API, who
don't keep to the limits neither end a process nor take its memory."""

import unittest

from process import deployments
from process.cluster_test_case import ClusterTestCase
from process.processes import LOOPBACK, wait_until
from process.resource_watch import BLOCK, Crowd, IdleCrowd, ResourceWatch

MAX_BYTES = 256 << 20
CALLERS = 8
CONNECTIONS = 200
SECONDS = 4
KEY = "Authorization: Bearer " + deployments.key_of("buyers") + "\r\n"
CHAT = ("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + KEY).encode()
CHUNKED = CHAT + b"Transfer-Encoding: chunked\r\n\r\n"
CHANGE = b"POST /v1/config/changes HTTP/1.1\r\nHost: a\r\n"


def endless(chunked):
    """Returns cases: name, what is sent once, what again and again."""
    return [
        ("request line", b"GET /", BLOCK),
        ("header", b"GET / HTTP/1.1\r\nHost: a\r\nX: ", BLOCK),
        ("chunk extension", chunked + b"5;x=", BLOCK),
        ("trailer", chunked + b"5\r\nhello\r\n0\r\nX-Trailer: ", BLOCK),
        ("trailers", chunked + b"5\r\nhello\r\n0\r\n", b"X: y\r\n" * 4096),
        ("chunks", chunked, b"1\r\na\r\n" * 8192),
        ("large chunks", chunked, b"10000\r\n" + BLOCK + b"\r\n"),
    ]


class MisbehavingCase(ClusterTestCase):
    controls = 1
    gateways = 1

    def watch(self, process):
        return ResourceWatch(process.child.pid, MAX_BYTES)

    def check(self, watch, process):
        print(f"{self.id()}: {watch.peak_bytes >> 20} of {MAX_BYTES >> 20} MB,"
              f" {watch.peak_descriptors} descriptors", flush=True)
        self.assertTrue(process.running())
        self.assertGreater(watch.peak_bytes, 0)
        self.assertLessEqual(watch.peak_bytes, MAX_BYTES)

    def check_crowd(self, process, port, head, block, is_served):
        with self.watch(process) as watch:
            with Crowd((LOOPBACK, port), CALLERS, head, block,
                       watch.exceeded):
                watch.exceeded.wait(SECONDS)
        self.check(watch, process)
        wait_until(is_served, "an ordinary request is served")

    def check_endless(self, process, port, chunked, is_served):
        for name, head, block in endless(chunked):
            with self.subTest(name):
                self.check_crowd(process, port, head, block, is_served)

    def gateway(self):
        return self.cluster.gateways[0]

    def caller_port(self):
        return self.cluster.ports[self.gateway().name]["callers"]

    def admin_port(self):
        return self.cluster.ports[self.cluster.controls[0].name]["admin"]

    def is_caller_served(self):
        outcome = self.ask("after the crowd")
        return outcome.status == 200

    def is_operator_served(self):
        try:
            return self.cluster.admin("GET", "/v1/config")[0] == 200
        except OSError:
            return False

    def check_port_of_peers(self, part, head, block):
        """A crowd at a port for the system's own processes."""
        control = self.cluster.controls[0]
        self.check_crowd(control, self.cluster.ports[control.name][part],
                         head, block, self.is_operator_served)
        wait_until(self.is_caller_served, "an ordinary request is served")


class MisbehavingCallersTest(MisbehavingCase):

    def test_callers(self):
        self.check_endless(self.gateway(), self.caller_port(), CHUNKED,
                           self.is_caller_served)

    def test_operators_without_a_key(self):
        self.check_endless(self.cluster.controls[0], self.admin_port(),
                           CHANGE + b"Transfer-Encoding: chunked\r\n\r\n",
                           self.is_operator_served)

    def test_operators_bodies_of_any_length(self):
        self.check_crowd(
            self.cluster.controls[0], self.admin_port(),
            CHANGE + b"Content-Length: 1000000000000\r\n\r\n", BLOCK,
            self.is_operator_served)

    def test_no_protocol_at_the_port_of_gateways(self):
        self.check_port_of_peers("control", b"GET /", BLOCK)

    def test_idle_operators(self):
        control = self.cluster.controls[0]
        with self.watch(control) as watch:
            with IdleCrowd((LOOPBACK, self.admin_port()), CONNECTIONS,
                           b"GET /v1/config HTTP/1.1\r\nHost: "):
                wait_until(self.is_operator_served,
                           "an operator's call is served")
        self.check(watch, control)


if __name__ == "__main__":
    unittest.main()
