"""Callers that take their streams up again, and a fleet whose engines are of
two software versions."""

import http.client
import threading
import time

from process.platform_fleet import new_id
from process.platform_stand_in import Engine
from process.platform_test import SettledFleet


class VersionedFleet(SettledFleet):
    """A fleet with two engines of each of two versions."""

    VERSIONS = ("v1", "v1", "v2", "v2")

    def _make_servers(self, stages):
        super()._make_servers(stages)
        for engine in self.engines:
            engine.close()
        self.engines = [
            Engine(f"{self.net}.200", "models", f"e{i}", "ab"[i % 2],
                   born=1000, version=version)
            for i, version in enumerate(self.VERSIONS)]
        self.list.servers = self.engines + self.plain + self.stages


class Try:
    """One request for a stream; `events` has the number and version of each
    complete event."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.id = new_id()
        self.status = 0
        self.headers = {}
        self.body = b""
        self.events = []
        self.whole = False
        self.seconds = 0.0

    def take(self, data):
        self.body += data
        for event in self.body.decode().split("\n\n")[len(self.events):-1]:
            number, text = event.split("\n")
            self.events.append((int(number.removeprefix("id: ")),
                                text.split(" ")[-1]))


class Stream:
    """A caller's stream of `count` events, which it takes up again when a try
    breaks off. `names_attempt` says whether it then names the attempt that
    brought the first event."""

    def __init__(self, fleet, count, names_attempt=True):
        self.fleet = fleet
        self.count = count
        self.names_attempt = names_attempt
        self.prefix = f"{new_id()}:100"
        self.tries = []
        self.begun = threading.Event()

    @property
    def events(self):
        return [event for one in self.tries for event in one.events]

    @property
    def versions(self):
        return sorted({version for _, version in self.events})

    @property
    def first_id(self):
        return next((one.id for one in self.tries if one.events), None)

    def went_on(self):
        """Returns whether the last try brought all that the others lacked."""
        return (self.tries[-1].status == 200 and self.tries[-1].whole and
                [number for number, _ in self.events] ==
                list(range(self.count)))

    def ask(self, gateway, seconds=None):
        """Makes a try for what the ones before did not bring. Closes its
        connection `seconds` after the first event, if given."""
        headers = {"X_Citronlane_Prompt_Prefix": self.prefix}
        if self.events:
            headers["Last_Event_Id"] = str(self.events[-1][0])
            if self.names_attempt:
                headers["Resumes"] = self.first_id
        one = Try(gateway)
        self.tries.append(one)
        sent = time.monotonic()
        try:
            with self.fleet.connect(gateway) as sock:
                sock.sendall(self.fleet.head("POST", "/chat/x", one.id,
                                             **headers))
                self._read(one, sock, sent, seconds)
        except (http.client.HTTPException, OSError):
            pass  # The try is not whole.
        return one

    def _read(self, one, sock, sent, seconds):
        reply = http.client.HTTPResponse(sock)
        reply.begin()
        one.seconds = time.monotonic() - sent
        one.headers = {name.lower(): value
                       for name, value in reply.getheaders()}
        one.status = reply.status
        until = None
        while True:
            data = reply.read1(65536)
            if not data:
                one.whole = True
                return
            if one.status != 200:
                one.body += data
                continue
            one.take(data)
            if one.events:
                self.begun.set()
                until = until or time.monotonic() + (seconds or 60)
                if time.monotonic() > until:
                    return

    def __str__(self):
        return " / ".join(
            f"{one.id} at gateway {one.gateway}: {one.status} "
            f"{[f'{number}@{version}' for number, version in one.events]}"
            f"{' whole' if one.whole else ''}" for one in self.tries)


def run_all(calls):
    """Runs the calls at the same time."""
    threads = [threading.Thread(target=call) for call in calls]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
