"""A TCP proxy on loopback that can delay or reset its connections, or discard
data in one or both directions."""

import socket
import struct
import threading
import time

MODES = ("pass", "delay", "reset", "no_replies", "no_requests", "silent")


class FaultProxy:
    """Proxy for one address; `mode` applies to all of its connections."""

    def __init__(self, ip, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.mode = "pass"
        self.sockets = set()
        self.listener = socket.create_server((ip, 0))
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for sock in list(self.sockets):
                self._reset(sock)

    def close(self):
        self.listener.close()
        for sock in list(self.sockets):
            self._reset(sock)

    def admits(self, _):
        """Returns whether this caller's connections are served."""
        return True

    def discards(self, _):
        """Returns whether what this caller sends or is sent is lost, without
        an error on either side."""
        return self.mode == "silent"

    @staticmethod
    def _reset(sock):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()

    def _accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            if self.mode == "reset" or not self.admits(caller):
                self._reset(caller)
                continue
            try:
                server = socket.create_connection(self.target, timeout=5)
                server.settimeout(None)
            except OSError:
                caller.close()
                continue
            self.sockets |= {caller, server}
            for pair in ((caller, server, caller, "no_requests"),
                         (server, caller, caller, "no_replies")):
                threading.Thread(target=self._pump, args=pair,
                                 daemon=True).start()

    def _pump(self, source, sink, caller, own_cut):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if self.mode == "delay":
                    time.sleep(0.15)
                if self.mode == own_cut or self.discards(caller):
                    continue
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            self.sockets.discard(sock)
            sock.close()
