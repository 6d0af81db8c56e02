"""Child processes of a test run on loopback."""

import json
import os
import random
import signal
import socket
import subprocess
import time

LOOPBACK = "127.0.0.1"
WAIT_SECONDS = 20.0
POLL_SECONDS = 0.01
# Below the range of ephemeral ports, so that no outgoing connection uses one,
# and different from the ports of the unit tests.
FIRST_PORT, LAST_PORT = 10000, 20000

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
BUILD = os.environ.get("CITRONLANE_BUILD_DIR", os.path.join(ROOT, "build"))
BINARY = os.environ.get("CITRONLANE_BINARY",
                        os.path.join(BUILD, "citronlane"))
FAKES = os.environ.get("CITRONLANE_FAKES",
                       os.path.join(BUILD, "tests", "citronlane_fakes"))

_ports = iter(())


def free_port():
    """Returns a loopback port without a listener."""
    global _ports
    for port in _ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
                return port
            except OSError:
                continue
    start = random.randrange(FIRST_PORT, LAST_PORT - 1000)
    _ports = iter(range(start, start + 1000))
    return free_port()


def wait_until(condition, what, seconds=WAIT_SECONDS):
    """Returns the first true value of the condition; fails at the deadline."""
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"not within {seconds} s: {what}")
        time.sleep(POLL_SECONDS)


class Process:
    """A child process and its log file."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.arguments = arguments
        self.log_path = os.path.join(folder, name + ".log")
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.arguments, stdout=subprocess.PIPE, stderr=log,
                stdin=subprocess.DEVNULL)

    def running(self):
        return self.child.poll() is None

    def send(self, number):
        self.child.send_signal(number)

    def pause(self):
        self.send(signal.SIGSTOP)

    def resume(self):
        self.send(signal.SIGCONT)

    def kill(self):
        self.send(signal.SIGKILL)
        return self.wait()

    def terminate(self):
        """Requests a graceful shutdown without waiting for it."""
        if self.running():
            self.send(signal.SIGTERM)

    def wait(self, seconds=WAIT_SECONDS):
        code = self.child.wait(seconds)
        self.child.stdout.close()
        return code

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()


def end(processes):
    """Sends SIGTERM to all, then SIGKILL to those that do not end. Returns the
    exit codes by name."""
    for process in processes:
        process.terminate()
    codes = {}
    for process in processes:
        try:
            codes[process.name] = process.wait()
        except subprocess.TimeoutExpired:
            process.kill()
            codes[process.name] = "killed"
    return codes


def write_json(path, value):
    """Replaces the file atomically, as another process may read it."""
    with open(path + ".new", "w", encoding="utf-8") as file:
        json.dump(value, file, indent=2)
    os.replace(path + ".new", path)
    return path
