"""Tests that malformed input is refused and counted and runs nothing."""

import json
import random
import socket
import unittest

from process import caller, deployments
from process.cluster_test_case import ClusterTestCase
from process.processes import LOOPBACK

SEED = 7
RANDOM_REQUESTS = 300
HALF_OPEN = 50
GIGABYTE = 1 << 30
KEY = "Authorization: Bearer " + deployments.key_of("buyers") + "\r\n"
CHAT = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + KEY
GOOD = {"model": "t-ask", "messages": [{"role": "user", "content": "bad"}]}


def with_body(body, headers=""):
    data = body if isinstance(body, str) else json.dumps(body)
    return f"{CHAT}{headers}Content-Length: {len(data)}\r\n\r\n{data}"


# Name, bytes sent, status of the response if there is one.
CASES = [
    ("malformed JSON", with_body('{"model": '), 400),
    ("no object", with_body("[1]"), 400),
    ("deep nesting", with_body("[" * 5000), 400),
    ("wrong types", with_body({**GOOD, "model": 7}), 400),
    ("wrong messages", with_body({**GOOD, "messages": "x"}), 400),
    ("huge max_tokens", with_body({**GOOD, "max_tokens": 1e99}), 400),
    ("bad UTF-8", CHAT.encode() + b"Content-Length: 13\r\n\r\n"
     b'{"model":"\xff"}', 400),
    ("unknown pipeline", with_body({**GOOD, "model": "none"}), 404),
    ("unknown class", with_body(GOOD, "X-Class: none\r\n"), 400),
    ("unknown account", with_body(GOOD).replace("buyers", "nobody"), 401),
    ("unknown path", "GET /none HTTP/1.1\r\nHost: a\r\n" + KEY + "\r\n", 404),
    ("no key for a request that runs once",
     with_body({**GOOD, "model": "t-order"}), 400),
    ("duplicate key header", with_body(
        GOOD, "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), 400),
    ("conflicting lengths", with_body(GOOD, "Content-Length: 5\r\n"), 400),
    ("length and chunks",
     with_body(GOOD, "Transfer-Encoding: chunked\r\n"), 400),
    ("negative length", CHAT + "Content-Length: -1\r\n\r\n", 400),
    ("no HTTP", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
    ("body of a gigabyte", f"{CHAT}Content-Length: {GIGABYTE}\r\n\r\n", 413),
    ("header flood", CHAT + "X-Many: " + "a" * (1 << 20) + "\r\n\r\n", 431),
]


class BadInputTest(ClusterTestCase):

    def port(self):
        return self.cluster.caller().port

    def send(self, data):
        """Returns the status of the reply, or None for a closed connection."""
        if isinstance(data, str):
            data = data.encode()
        with socket.create_connection((LOOPBACK, self.port()), 10) as link:
            try:
                link.sendall(data)
                head = link.recv(65536)
            except OSError:
                return None
        return int(head.split()[1]) if head.startswith(b"HTTP/") else None

    def assert_unharmed(self):
        self.assertEqual(self.runs(), [])
        self.assertTrue(self.cluster.gateways[0].running())
        self.assert_whole([self.ask("after bad input")])
        self.cluster.clear_runs()

    def test_each_bad_request_is_refused_and_nothing_of_it_runs(self):
        for name, data, status in CASES:
            with self.subTest(name):
                self.assertIn(self.send(data), (status, None))
        self.assert_unharmed()
        self.figure(cases=len(CASES))

    def test_random_changes_of_a_request_harm_nothing(self):
        source = random.Random(SEED)
        whole = with_body({**GOOD, "model": "none"}).encode()
        background = caller.Background()
        for _ in range(RANDOM_REQUESTS):
            data = bytearray(whole)
            for _ in range(source.randrange(1, 9)):
                data[source.randrange(len(data))] = source.randrange(256)
            # Completes the header, for which a gateway may still wait.
            background.start(self.send, bytes(data) + b"\r\n\r\n" * 200)
        self.assertEqual([s for s in background.join() if s == 200], [])
        self.assert_unharmed()
        self.figure(requests=RANDOM_REQUESTS)

    def test_half_open_connections_keep_nobody_out(self):
        links = [socket.create_connection((LOOPBACK, self.port()))
                 for _ in range(HALF_OPEN)]
        for link in links:
            link.sendall(CHAT.encode()[:40])
        self.assert_unharmed()
        for link in links:
            link.close()


if __name__ == "__main__":
    unittest.main()
