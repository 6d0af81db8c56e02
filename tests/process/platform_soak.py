"""Randomized soak test of the platform's programs. Real processes get signals
and lose disks, servers reply twice, and a proxy injects network faults before
every server, while callers and an operator send requests. Faults of gateways,
control VMs and servers overlap. Checks the guarantees of the system by the
records of callers and servers.

    python3 -B -m process.platform_soak --seeds 5 [--first N] [--seconds S]
        [--output FOLDER]

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
from process.platform_stand_in import SECOND_ANSWERS
from process.processes import BUILD, wait_until

CALLERS = 10
OUTPUT = os.path.join(BUILD, "soak-output")
# "pass" is more likely, so that some servers work and replies reach callers.
PROXY_MODES = MODES + ("pass",) * 3
# Numbers of routes added to the operator's documents, most of which are small.
MORE_ROUTES = (0, 0, 0, 300, 1400)
NOT_RUN_PROMISES = (408, 421, 429, 503)


class Soak:
    """A run with one seed; `faults` has a line for each violated guarantee."""

    def __init__(self, seed, seconds, stages=2):
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
        self.fleet = Fleet(controls=3, gateways=3, stages=stages)
        self.account = ""
        self.kept = 0  # Requests on reused connections.
        self.stops_overlapped = 0
        self.proxies = []
        ip = f"{self.fleet.net}.201"
        for server in (self.fleet.engines + self.fleet.plain +
                       self.fleet.stages):
            proxy = FaultProxy(ip, server.address)
            # Handles begin with the address that the list names.
            server.address = proxy.address
            self.proxies.append(proxy)

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
            for thread in threads:
                thread.start()
            self.disturb()
            self.heal()
            self.check_recovery()
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
                 ("gateways a", lambda source: self.gateway_step(
                     source, self.fleet.gateway_ips[:2]), 0.6),
                 ("gateways b", lambda source: self.gateway_step(
                     source, self.fleet.gateway_ips[2:]), 0.6),
                 ("controls", self.control_step, 0.6))
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
            source.choice(self.proxies).set_mode(source.choice(PROXY_MODES))
            return
        server = source.choice(self.servers())
        # Replies to stage calls have no id that could be omitted or truncated.
        fault = ("twice" if server in self.fleet.stages else
                 source.choice(SECOND_ANSWERS))
        server.faults += [fault] * source.randint(1, 4)

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
                self.fault(f"{ip} ended by itself")

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
        for server in self.fleet.stages + self.fleet.engines:
            for item, what in server.wrong:
                self.fault(f"{server.id}: {item['id']} was given {what}")

    def check_answer(self, path, request_id, answer):
        runs = sum(server.runs.get(request_id, 0) for server in
                   self.fleet.plain + self.fleet.engines)
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
        expected = "".join(f"id: {number}\ndata: {request_id} {number} v1\n\n"
                           for number in range(6))
        if answer.body.decode() != expected:
            self.fault(f"{request_id} got a stream with a gap or a repeat: "
                       f"{answer.body}")

    def report(self):
        late = sum(server.second_answers for server in self.servers())
        return "\n".join(
            [f"seed {self.seed}, {self.seconds} s: {len(self.answers)} requests "
             f"({self.kept} on kept connections), "
             f"{dict(sorted(self.counts.items()))}, {late} second answers, "
             f"{self.stops_overlapped} signals in a stop, "
             f"{len(self.faults)} faults"] + [f"  {text}" for text in self.faults])


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
    parser.add_argument("--output", default=OUTPUT)
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        soak = Soak(seed, options.seconds, options.stages)
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
