"""Tests that who reaches a port of the own interface's processes, and speaks
their protocol, does not end one."""

import unittest

from process.misbehaving_callers_test import MisbehavingCase


def http2_frame(kind, flags, stream, payload):
    return (len(payload).to_bytes(3, "big") + bytes([kind, flags]) +
            stream.to_bytes(4, "big") + payload)


# A literal header field of a hundred bytes.
FIELD = b"\x00\x01a" + bytes([100]) + b"v" * 100
HTTP2_HEAD = (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
              http2_frame(4, 0, 0, b"") + http2_frame(1, 0, 1, FIELD))
# More of the same header, without its end.
HTTP2_CONTINUATION = http2_frame(9, 0, 1, FIELD * 150)


class HeadersWithoutEndTest(MisbehavingCase):

    def test_port_of_gateways(self):
        self.check_port_of_peers("control", HTTP2_HEAD, HTTP2_CONTINUATION)

    def test_port_of_control_vms(self):
        self.check_port_of_peers("replication", HTTP2_HEAD, HTTP2_CONTINUATION)


if __name__ == "__main__":
    unittest.main()
