"""Randomized soak test of the platform's programs. Real processes get signals
and lose disks, servers reply twice, and a proxy injects network faults before
every server, while callers and an operator send requests. Faults of gateways,
control VMs and servers overlap. Checks the guarantees of the system by the
records of callers and servers.

    python3 -B -m process.platform_soak --seeds 5 [--first N] [--seconds S]
        [--versions] [--output FOLDER]

With --versions, engines of two versions serve, releases replace those of the
older one, and callers take their streams up again at any gateway. At the end,
engines fall silent for a while and go on.

Each run writes a new file to FOLDER, named by its seed, with its counts, each
violated guarantee and, if there is one, the logs of all processes.
"""

import argparse
import json
import os
import random
import signal
import sys
import traceback
import threading
import time

from process.fault_proxy import MODES, FaultProxy
from process.platform_fleet import (Fleet, new_id, read_answer,
                                    with_more_routes)
from process.platform_stand_in import SECOND_ANSWERS, Engine
from process.platform_streams import Stream, VersionedFleet, run_all
from process.processes import BUILD, wait_until

CALLERS = 10
OUTPUT = os.path.join(BUILD, "soak-output")
# "pass" is more likely, so that some servers work and replies reach callers.
PROXY_MODES = MODES + ("pass",) * 3
# Numbers of routes added to the operator's documents, most of which are small.
MORE_ROUTES = (0, 0, 0, 300, 1400)
NOT_RUN_PROMISES = (408, 421, 429, 503)
# Callers of streams of several versions, and the most tries for each.
STREAM_CALLERS = 6
MOST_TRIES = 4
EVENT_PAUSE = 0.05
# How long an engine that leaves still serves.
LEAVE_SECONDS = 2.0
# From this number of tries that take streams up on, their share counts.
LEAST_TAKEN_UP = 12
PAUSED_STREAMS = 12


class Soak:
    """A run with one seed; `faults` has a line for each violated guarantee."""

    def __init__(self, seed, seconds, stages=2, versions=False):
        self.seed = seed
        self.random = random.Random(seed)
        # A generator of its own, so that the injected faults of a seed do not
        # depend on the sizes.
        self.sizes = random.Random(f"{seed} sizes")
        self.seconds = seconds
        self.faults = []
        self.counts = {}
        self.answers = []
        self.acked = 0
        self.running = True
        self.lock = threading.Lock()
        self.versions = versions
        kind = VersionedFleet if versions else Fleet
        self.fleet = kind(controls=3, gateways=3, stages=stages)
        # Faults that drop bytes within a stream leave gaps between its events.
        self.modes = [mode for mode in PROXY_MODES if not versions or
                      mode not in ("no_replies", "silent")]
        self.former = []  # Engines that have left.
        self.streams = []
        self.begun = self.first_tries = 0
        self.went_on = self.taken_up = 0
        for engine in self.fleet.engines if versions else []:
            engine.pause = EVENT_PAUSE
        self.account = ""
        self.kept = 0  # Requests on reused connections.
        self.stops_overlapped = 0
        self.proxies = []
        ip = f"{self.fleet.net}.201"
        for server in (self.fleet.engines + self.fleet.plain +
                       self.fleet.stages):
            self.put_proxy(ip, server)

    def put_proxy(self, ip, server):
        """Returns the proxy that the list names in place of the server."""
        proxy = FaultProxy(ip, server.address)
        # Handles begin with the address that the list names.
        server.address = proxy.address
        self.proxies.append(proxy)
        return proxy

    def fault(self, text):
        with self.lock:
            self.faults.append(text)

    def run(self):
        try:
            self.fleet.start()
            self.acked = self.fleet.document["version"]
            threads = [threading.Thread(target=self.call, args=(i,))
                       for i in range(CALLERS)]
            threads.append(threading.Thread(target=self.operate))
            if self.versions:
                threads += [threading.Thread(target=self.call_streams,
                                             args=(i,))
                            for i in range(STREAM_CALLERS)]
            for thread in threads:
                thread.start()
            self.disturb()
            self.heal()
            self.check_recovery()
            if self.versions:
                self.check_pauses()
            self.running = False
            for thread in threads:
                thread.join()
            self.check_answers()
        except Exception:
            self.fault(traceback.format_exc())
            raise
        finally:
            self.running = False
            if self.faults:
                self.account = self.fleet.account()
            self.fleet.close()
            for proxy in self.proxies:
                proxy.close()
        return self.faults

    # Load.

    def call(self, index):
        """Sends requests over a kept connection to each gateway until the
        gateway closes it, also while the gateway shuts down."""
        kinds = (("POST", "/once/a"), ("GET", "/look/a"), ("POST", "/chat/a"))
        source = random.Random(index)
        connections = {}
        while self.running:
            method, path = source.choice(kinds)
            request_id = new_id()
            gateway = source.randrange(3)
            sock, history = connections.pop(gateway, (None, []))
            begun, answer = time.time(), None
            try:
                if sock is None:
                    sock = self.fleet.connect(gateway)
                else:
                    self.kept += 1
                sock.sendall(self.fleet.head(method, path, request_id))
                answer = read_answer(sock)
            except OSError as error:
                history.append(f"{error!r}")
            self.note(history, begun, request_id, path, gateway, sock, answer)
            if (answer and answer.whole and
                    answer.headers.get("connection", "") != "close"):
                connections[gateway] = sock, history
            elif sock:
                sock.close()
            with self.lock:
                self.answers.append((path, request_id, answer, history))
                status = answer.status if answer else 0
                self.counts[status] = self.counts.get(status, 0) + 1
            time.sleep(0.01 if answer and answer.status == 200 else 0.1)
        for sock, _ in connections.values():
            sock.close()

    def call_streams(self, index):
        """Begins streams, cuts some of them, and takes up those that broke."""
        source = random.Random(f"streams {index}")
        while self.running:
            stream = Stream(self.fleet, Engine.events)
            self.streams.append(stream)
            for _ in range(MOST_TRIES):
                cut = (source.uniform(0.05, 0.25) if source.random() < 0.3
                       else None)
                self.ask_stream(stream, source.randrange(3), cut)
                if stream.went_on():
                    break
                time.sleep(0.15)

    def ask_stream(self, stream, gateway, cut):
        """Makes a try, and counts whether the stream begins or goes on. Only
        tries before and after which two engines of the version are listed as
        ready count."""
        version = stream.versions[0] if stream.events else None
        is_served = self.ready(version) >= 2
        one = stream.ask(gateway, cut)
        is_served = is_served and self.ready(version) >= 2
        with self.lock:
            if version is None:
                self.first_tries += 1
                self.begun += bool(one.events)
            elif is_served:
                self.taken_up += 1
                self.went_on += bool(one.events) or stream.went_on()

    def ready(self, version):
        """Returns how many engines of the version (any for None) serve."""
        return sum(engine.state == "ready" and
                   version in (None, engine.version)
                   for engine in list(self.fleet.engines))

    def note(self, history, begun, request_id, path, gateway, sock, answer):
        """Records an exchange on a connection, for the report of a wrong
        answer."""
        try:
            port = sock.getsockname()[1] if sock else 0
        except OSError:
            port = -1
        got = "nothing" if not answer else (
            f"{answer.status} {'whole' if answer.whole else 'broken'} "
            f"{answer.headers} {answer.body[:120]}")
        history.append(f"{begun:.3f} to {time.time():.3f}, port {port}, gateway "
                       f"{gateway}: {path} {request_id} got {got}")

    def operate(self):
        while self.running:
            document = with_more_routes(self.fleet.make_document(),
                                        self.sizes.choice(MORE_ROUTES))
            control = self.random.choice(self.fleet.control_ips)
            if self.fleet.put(document, control) == 200:
                self.acked = max(self.acked, document["version"])
            acked = self.acked
            time.sleep(0.3)
            read = self.fleet.get(self.random.choice(self.fleet.control_ips))
            if read is not None and read["version"] < acked:
                self.fault(f"read version {read['version']} after {acked} "
                           "was acknowledged")

    # Faults.

    def disturb(self):
        """Runs loops that inject faults independently, so that these overlap:
        at most two gateways and one control VM at once, since control tolerates
        one loss at a time."""
        end = time.monotonic() + self.seconds
        # Each loop has a generator of its own, so that its choices depend on
        # the seed only.
        loops = (("servers", self.server_step, 0.15),
                 ("backoffs", self.backoff_step, 0.6),
                 ("gateways a", lambda source: self.gateway_step(
                     source, self.fleet.gateway_ips[:2]), 0.6),
                 ("gateways b", lambda source: self.gateway_step(
                     source, self.fleet.gateway_ips[2:]), 0.6),
                 ("controls", self.control_step, 0.6))
        if self.versions:
            loops += (("releases", self.release_step, 1.0),)
        threads = [threading.Thread(target=self.disturb_one,
                                    args=(*loop, end)) for loop in loops]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def disturb_one(self, name, step, most_pause, end):
        source = random.Random(f"{self.seed} {name}")
        while time.monotonic() < end:
            try:
                step(source)
            except Exception:
                self.fault(f"{name}: {traceback.format_exc()}")
            time.sleep(source.uniform(0.02, most_pause))

    def server_step(self, source):
        if source.random() < 0.5:
            source.choice(self.proxies).set_mode(source.choice(self.modes))
            return
        server = source.choice(self.servers())
        # Replies to stage calls have no id that could be omitted or truncated.
        fault = ("twice" if server in self.fleet.stages else
                 source.choice(SECOND_ANSWERS))
        server.faults += [fault] * source.randint(1, 4)

    def backoff_step(self, source):
        """A server refuses all requests for a while, with Retry-After."""
        server = source.choice(self.servers())
        server.retry_after = source.choice(("0.2", "0.7", "soon"))
        time.sleep(source.uniform(0.1, 0.5))
        server.retry_after = None

    def release_step(self, _):
        """An engine of the oldest version leaves, and one of the next version
        comes, until two engines of the next version have come."""
        def number(engine):
            return int(engine.version[1:])
        engines = list(self.fleet.engines)
        old = min(engines, key=number)
        newest = max(map(number, engines))
        count = sum(number(engine) == newest for engine in engines)
        version = f"v{newest + (count >= 2)}"
        new = Engine(f"{self.fleet.net}.200", "models",
                     f"e{len(engines) + len(self.former)}", old.domain,
                     born=int(time.time() * 1000), version=version)
        new.pause = EVENT_PAUSE
        self.put_proxy(f"{self.fleet.net}.201", new)
        self.fleet.engines.append(new)
        self.list_servers()
        old.state = "draining"
        time.sleep(LEAVE_SECONDS)
        self.fleet.engines.remove(old)
        self.former.append(old)
        self.list_servers()
        old.stop_listening()
        old.cut_connections()

    def list_servers(self):
        self.fleet.list.servers = self.servers()

    def servers(self):
        return self.fleet.engines + self.fleet.plain + self.fleet.stages

    def restart(self, source, ip, start, how):
        process = self.fleet.processes[ip]
        if how == "pause":
            process.pause()
            time.sleep(source.uniform(0.1, 1.2))
            process.resume()
        elif how == "hup":
            process.send(signal.SIGHUP)
        elif how == "term":
            process.terminate()
            if source.random() < 0.5:
                self.disturb_stopping(source, process)
            code = process.wait(15)
            # The signal may arrive before the process handles it. The process
            # has then logged nothing and accepted no request.
            has_begun = process.log_since_start() != ""
            if code != 0 and (has_begun or code != -signal.SIGTERM):
                self.fault(f"{ip} ended with {code} at SIGTERM")
            start(ip)
        else:
            process.kill()
            if how == "wipe":
                self.fleet.lose_disk_of_dead(ip)
            time.sleep(source.uniform(0, 0.5))
            start(ip)

    def disturb_stopping(self, source, process):
        time.sleep(source.uniform(0, 0.5))
        if process.running():
            self.stops_overlapped += 1
            process.send(signal.SIGHUP)
        if source.random() < 0.5:
            process.pause()
            time.sleep(source.uniform(0.1, 0.6))
            process.resume()

    def gateway_step(self, source, ips):
        self.restart(source, source.choice(ips), self.fleet.start_gateway,
                     source.choice(("kill", "pause", "hup", "term")))

    def control_step(self, source):
        # Control tolerates one loss at a time: wait for the replacement.
        ip = source.choice(self.fleet.control_ips)
        how = source.choice(("kill", "pause", "hup", "term", "wipe"))
        self.restart(source, ip, self.fleet.start_control, how)
        if how == "wipe":
            wait_until(lambda: self.fleet.is_voter(ip), f"{ip} a voter again")

    def heal(self):
        for server in self.servers():
            server.faults.clear()
            server.retry_after = None
        for proxy in self.proxies:
            proxy.set_mode("reset")  # Closes connections that hang.
            proxy.set_mode("pass")

    # Checks of the guarantees.

    def check_recovery(self):
        try:
            wait_until(self.served_everywhere, "service after the faults", 15)
            # The operator still sends changes: those acknowledged during the
            # read need not be in its result.
            acked = self.acked
            read = wait_until(self.fleet.get, "a read after the faults", 10)
            if read["version"] < acked:
                self.fault(f"version {acked} was acknowledged and "
                           f"{read['version']} is read")
        except AssertionError as error:
            self.fault(str(error))
        for ip, process in self.fleet.processes.items():
            if not process.running():
                self.fault(f"{ip} ended by itself with "
                           f"{process.child.returncode}")

    def check_pauses(self):
        """No stream ends while engines fall silent for a while and go on, and
        nothing else disturbs them. Before, as many streams have to be served
        without pauses, so that none fails for the faults before."""
        source = random.Random(f"{self.seed} pauses")

        def settled():
            return all(stream.went_on() for stream in self.ask_at_once())
        wait_until(settled, "all streams whole after the faults", 30)
        for engine in self.fleet.engines:
            engine.pause_seconds = source.uniform(1.0, 2.0)
            engine.faults += ["pause"] * PAUSED_STREAMS
        streams = self.ask_at_once()
        for engine in self.fleet.engines:
            engine.faults.clear()
        for stream in streams:
            if not stream.went_on():
                self.fault(f"a paused engine cost a stream: {stream}")

    def ask_at_once(self):
        streams = [Stream(self.fleet, Engine.events)
                   for _ in range(PAUSED_STREAMS)]
        self.streams += streams
        run_all([lambda stream=stream, index=index: stream.ask(index % 3)
                 for index, stream in enumerate(streams)])
        return streams

    def check_streams(self):
        for stream in self.streams:
            if len(stream.versions) > 1:
                self.fault(f"a stream of two versions: {stream}")
            numbers = [number for number, _ in stream.events]
            if numbers != list(range(len(numbers))):
                self.fault(f"a stream with a gap or a repeat: {stream}")
            for one in stream.tries:
                if (one.status in NOT_RUN_PROMISES and
                        self.runs(one.id, self.fleet.engines) > 0):
                    self.fault(f"{one.id} got {one.status} and ran")
        if (self.taken_up >= LEAST_TAKEN_UP and 2 * self.went_on *
                self.first_tries < self.begun * self.taken_up):
            self.fault(f"{self.went_on} of {self.taken_up} tries for streams "
                       f"that broke went on, and {self.begun} of "
                       f"{self.first_tries} new ones began")

    def runs(self, request_id, servers):
        return sum(server.runs.get(request_id, 0)
                   for server in servers + self.former)

    def served_everywhere(self):
        try:
            return all(self.fleet.ask("POST", path, b"", None, gateway).whole
                       for gateway in range(3)
                       for path in ("/once/a", "/chat/a"))
        except OSError:
            # A process that was just restarted does not listen yet.
            return False

    def check_answers(self):
        time.sleep(0.5)
        for path, request_id, answer, history in self.answers:
            found = len(self.faults)
            self.check_answer(path, request_id, answer)
            if len(self.faults) > found:
                self.fault("on its connection:\n    " + "\n    ".join(history))
        self.check_streams()
        for server in self.fleet.stages + self.fleet.engines + self.former:
            for item, what in server.wrong:
                self.fault(f"{server.id}: {item['id']} was given {what}")

    def check_answer(self, path, request_id, answer):
        runs = self.runs(request_id, self.fleet.plain + self.fleet.engines)
        if path == "/once/a" and runs > 1:
            self.fault(f"{request_id} may run once and ran {runs} times")
        if answer is None:
            return
        if answer.status in NOT_RUN_PROMISES and runs > 0:
            self.fault(f"{request_id} got {answer.status} and ran")
        named = answer.headers.get("x-citronlane-request-id", request_id)
        if named != request_id:
            self.fault(f"{request_id} got {answer.status} for {named}")
        if answer.status == 200 and answer.whole:
            self.check_body(path, request_id, answer)

    def check_body(self, path, request_id, answer):
        if answer.headers.get("x-citronlane-request-id") != request_id:
            self.fault(f"{request_id} got the answer of another request")
        # The seals of the simulated servers contain the id of their request.
        seal = answer.headers.get("x-citronlane-response-seal", "")
        if seal.split(".")[-1] != request_id:
            self.fault(f"{request_id} got an answer sealed {seal}")
        if path != "/chat/a":
            try:
                own = json.loads(answer.body).get("id")
            except ValueError:
                own = None
            if own != request_id:
                self.fault(f"{request_id} got the body {answer.body}")
            return
        versions = {engine.version for engine in
                    self.fleet.engines + self.former}
        expected = ["".join(
            f"id: {number}\ndata: {request_id} {number} {version}\n\n"
            for number in range(6)) for version in versions]
        if answer.body.decode() not in expected:
            self.fault(f"{request_id} got a stream with a gap, a repeat or two "
                       f"versions: {answer.body}")

    def report(self):
        late = sum(server.second_answers for server in self.servers())
        refused = sum(len(server.refused) for server in self.servers())
        return "\n".join(
            [f"seed {self.seed}, {self.seconds} s: {len(self.answers)} requests "
             f"({self.kept} on kept connections), "
             f"{dict(sorted(self.counts.items()))}, {late} second answers, "
             f"{refused} refused with Retry-After, "
             f"{self.stops_overlapped} signals in a stop, "
             f"{len(self.faults)} faults"] + self.stream_counts() +
            [f"  {text}" for text in self.faults])

    def stream_counts(self):
        if not self.versions:
            return []
        mixed = sum(len(stream.versions) > 1 for stream in self.streams)
        return [f"  {len(self.streams)} streams, {mixed} of two versions; "
                f"{self.begun} of {self.first_tries} new ones began, "
                f"{self.went_on} of {self.taken_up} that broke went on; "
                f"{len(self.former)} engines left"]


def run_in_test(soak, name):
    """Runs a soak in a test and returns its faults. Prints them, and where the
    logs are, also when the run itself fails."""
    try:
        return soak.run()
    finally:
        if soak.faults:
            path = write_apart(OUTPUT, name,
                               f"{soak.report()}\n{soak.account}\n")
            print(f"{soak.report()}\n  all of it: {path}", file=sys.stderr,
                  flush=True)


def write_apart(folder, name, text):
    """Writes a new file without overwriting one; returns its path."""
    os.makedirs(folder, exist_ok=True)
    number = 1
    while True:
        path = os.path.join(folder, f"{name}-run-{number}.txt")
        try:
            with open(path, "x", encoding="utf-8") as file:
                file.write(text)
            return path
        except FileExistsError:
            number += 1


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--stages", type=int, default=2,
                        help="servers of the stage pool; 26 divide it")
    parser.add_argument("--versions", action="store_true")
    parser.add_argument("--output", default=OUTPUT)
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        soak = Soak(seed, options.seconds, options.stages, options.versions)
        try:
            soak.run()
        except Exception:
            pass  # Recorded in the faults; continue with the next seed.
        broken += bool(soak.faults)
        path = write_apart(options.output, f"seed-{seed}",
                           f"{soak.report()}\n{soak.account}\n")
        print("\n".join(soak.report().splitlines()[:12]), flush=True)
        if soak.faults:
            print(f"  all of it: {path}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
