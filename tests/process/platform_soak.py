"""Randomized soak of the platform's programs: real processes under signals,
lost disks and a fault proxy before every server, while callers and an operator
go on. Checks the promises from what callers and servers see.

    python3 -B -m process.platform_soak --seeds 5 [--first N] [--seconds S]
"""

import argparse
import random
import signal
import sys
import threading
import time

from process.fault_proxy import MODES, FaultProxy
from process.platform_fleet import Fleet, new_id
from process.processes import wait_until

CALLERS = 6
NOT_RUN_PROMISES = (408, 421, 429, 503)


class Soak:
    """One seed: `faults` holds every broken promise, a line each."""

    def __init__(self, seed, seconds):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.faults = []
        self.counts = {}
        self.answers = []
        self.acked = 0
        self.running = True
        self.lock = threading.Lock()
        self.fleet = Fleet(controls=3, gateways=3)
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
        finally:
            self.running = False
            self.fleet.close()
            for proxy in self.proxies:
                proxy.close()
        return self.faults

    # What goes on all the time.

    def call(self, index):
        kinds = (("POST", "/once/a"), ("GET", "/look/a"), ("POST", "/chat/a"))
        source = random.Random(index)
        while self.running:
            method, path = source.choice(kinds)
            request_id = new_id()
            try:
                answer = self.fleet.ask(method, path, b"", request_id,
                                        source.randrange(3))
            except OSError:
                answer = None
            with self.lock:
                self.answers.append((path, request_id, answer))
                status = answer.status if answer else 0
                self.counts[status] = self.counts.get(status, 0) + 1
            time.sleep(0.01 if answer and answer.status == 200 else 0.1)

    def operate(self):
        while self.running:
            document = self.fleet.make_document()
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
        end = time.monotonic() + self.seconds
        steps = (self.proxy_step, self.proxy_step, self.gateway_step,
                 self.control_step)
        while time.monotonic() < end:
            self.random.choice(steps)()
            time.sleep(self.random.uniform(0.05, 0.4))

    def proxy_step(self):
        self.random.choice(self.proxies).set_mode(self.random.choice(MODES))

    def restart(self, ip, start, how):
        process = self.fleet.processes[ip]
        if how == "pause":
            process.pause()
            time.sleep(self.random.uniform(0.1, 1.2))
            process.resume()
        elif how == "hup":
            process.send(signal.SIGHUP)
        elif how == "term":
            process.terminate()
            if process.wait(12) != 0:
                self.fault(f"{ip} ended with an error at SIGTERM")
            start(ip)
        else:
            process.kill()
            if how == "wipe":
                self.fleet.lose_disk_of_dead(ip)
            time.sleep(self.random.uniform(0, 0.5))
            start(ip)

    def gateway_step(self):
        self.restart(self.random.choice(self.fleet.gateway_ips),
                     self.fleet.start_gateway,
                     self.random.choice(("kill", "pause", "hup", "term")))

    def control_step(self):
        # One loss at a time is tolerated, and it is repaired before the next.
        ip = self.random.choice(self.fleet.control_ips)
        how = self.random.choice(("kill", "pause", "hup", "term", "wipe"))
        self.restart(ip, self.fleet.start_control, how)
        if how == "wipe":
            wait_until(lambda: self.fleet.is_voter(ip), f"{ip} a voter again")

    def heal(self):
        for proxy in self.proxies:
            proxy.set_mode("reset")  # Drops what hangs.
            proxy.set_mode("pass")

    # Promises.

    def check_recovery(self):
        try:
            wait_until(self.served_everywhere, "service after the faults", 15)
            read = wait_until(self.fleet.get, "a read after the faults", 10)
            if read["version"] < self.acked:
                self.fault(f"version {self.acked} was acknowledged and "
                           f"{read['version']} is read")
        except AssertionError as error:
            self.fault(str(error))
        for ip, process in self.fleet.processes.items():
            if not process.running():
                self.fault(f"{ip} ended by itself")

    def served_everywhere(self):
        return all(self.fleet.ask("POST", path, b"", None, gateway).whole
                   for gateway in range(3) for path in ("/once/a", "/chat/a"))

    def check_answers(self):
        time.sleep(0.5)
        for path, request_id, answer in self.answers:
            runs = sum(server.runs.get(request_id, 0) for server in
                       self.fleet.plain + self.fleet.engines)
            if path == "/once/a" and runs > 1:
                self.fault(f"{request_id} may run once and ran {runs} times")
            if answer is None:
                continue
            if answer.status in NOT_RUN_PROMISES and runs > 0:
                self.fault(f"{request_id} got {answer.status} and ran")
            if answer.status == 200 and answer.whole:
                self.check_body(path, request_id, answer)
        for stage in self.fleet.stages:
            for item, handle in stage.wrong:
                self.fault(f"{item['id']} was given {handle}")

    def check_body(self, path, request_id, answer):
        if answer.headers.get("x-citronlane-request-id") != request_id:
            self.fault(f"{request_id} got the answer of another request")
        if path != "/chat/a":
            return
        expected = "".join(f"id: {number}\ndata: {request_id} {number}\n\n"
                           for number in range(6))
        if answer.body.decode() != expected:
            self.fault(f"{request_id} got a stream with a gap or a repeat")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8)
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        soak = Soak(seed, options.seconds)
        faults = soak.run()
        broken += bool(faults)
        print(f"seed {seed}: {len(soak.answers)} requests, "
              f"{dict(sorted(soak.counts.items()))}, {len(faults)} faults",
              flush=True)
        for text in faults[:10]:
            print(f"  {text}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
