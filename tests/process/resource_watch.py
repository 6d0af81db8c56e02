"""Memory and descriptors of a process, as the platform counts them, and callers
that send more than a process may keep."""

import os
import socket
import threading
import time

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SAMPLE_SECONDS = 0.02
BLOCK = b"a" * 65536


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def descriptors(pid):
    """Returns what each descriptor of the process refers to."""
    folder = f"/proc/{pid}/fd"
    targets = []
    for name in os.listdir(folder):
        try:
            targets.append(os.readlink(f"{folder}/{name}"))
        except FileNotFoundError:
            pass
    return targets


def unread_bytes(targets):
    """Returns the bytes that have arrived at these sockets and were not read
    yet."""
    inodes = {target[8:-1] for target in targets
              if target.startswith("socket:[")}
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            fields = line.split()
            # The queue of a listener counts connections.
            if fields[9] in inodes and fields[3] != "0A":
                total += int(fields[4].split(":")[1], 16)
    return total


class ResourceWatch:
    """Samples a process until it is closed. `peak_bytes` holds what it used at
    most, bytes that were not read yet included."""

    def __init__(self, pid, max_bytes):
        self.pid = pid
        self.max_bytes = max_bytes
        self.peak_bytes = 0
        self.peak_descriptors = 0
        # Set when the memory exceeds the bound, so that a crowd ends.
        self.exceeded = threading.Event()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._stop.set()
        self._thread.join()
        self._sample()

    def _run(self):
        while not self._stop.wait(SAMPLE_SECONDS):
            self._sample()

    def _sample(self):
        try:
            targets = descriptors(self.pid)
            used = resident_bytes(self.pid) + unread_bytes(targets)
        except OSError:
            return
        self.peak_bytes = max(self.peak_bytes, used)
        self.peak_descriptors = max(self.peak_descriptors, len(targets))
        if used > self.max_bytes:
            self.exceeded.set()


class Crowd:
    """Callers that connect to one address at the same time. Each sends `head`,
    and then `block` again and again. A caller whose connection is closed opens
    another one. Without a block, the connections are kept open."""

    CONNECT_SECONDS = 2
    SEND_SECONDS = 0.5
    RETRY_SECONDS = 0.05

    def __init__(self, address, callers, head=b"", block=b"",
                 stop=None, reads=False):
        self.address = address
        self.head = head
        self.block = block
        self.reads = reads
        self._stop = threading.Event()
        self._exceeded = stop or threading.Event()
        self._threads = [threading.Thread(target=self._run)
                         for _ in range(callers)]
        for thread in self._threads:
            thread.start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _has_ended(self):
        return self._stop.is_set() or self._exceeded.is_set()

    def _run(self):
        while not self._has_ended():
            try:
                with socket.create_connection(
                        self.address, self.CONNECT_SECONDS) as sock:
                    sock.settimeout(self.SEND_SECONDS)
                    self._send(sock)
            except OSError:
                time.sleep(self.RETRY_SECONDS)

    def _send(self, sock):
        sock.sendall(self.head)
        while not self._has_ended():
            try:
                if self.block:
                    sock.send(self.block)
                elif self.reads:
                    if not sock.recv(65536):
                        return
                elif self._is_closed(sock):
                    return
                else:
                    time.sleep(self.RETRY_SECONDS)
            except TimeoutError:
                pass

    @staticmethod
    def _is_closed(sock):
        sock.setblocking(False)
        try:
            return not sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        finally:
            sock.settimeout(Crowd.SEND_SECONDS)


class IdleCrowd:
    """Connections that send `head`, and then nothing. Those that are refused or
    closed are not opened again."""

    def __init__(self, address, count, head=b""):
        self.sockets = []
        for _ in range(count):
            sock = socket.socket()
            sock.settimeout(1)
            try:
                sock.connect(address)
                sock.sendall(head)
                self.sockets.append(sock)
            except OSError:
                sock.close()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for sock in self.sockets:
            sock.close()
