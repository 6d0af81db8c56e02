#!/usr/bin/env python3
"""Measures the cost of configuration changes on control VMs by the numbers of
routes and watchers: `platform_config.py [--routes 1000 10000]
[--watchers 300] [--rate 10] [--seconds 60]`. Three control VMs run as processes
without the platform's limits; one program simulates all gateways. Each change
sets another timeout of one route. Prints a table row for each combination."""

import argparse
import concurrent.futures
import json
import os
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))

from process.platform_fleet import Fleet, with_more_routes  # noqa: E402
from process.processes import BUILD, wait_until  # noqa: E402

WATCHERS = os.path.join(BUILD, "bench", "bench-watchers")
# Changes that an operator may have under way at once.
IN_FLIGHT = 8


class Run:
    def __init__(self, routes, watchers):
        self.fleet = Fleet(controls=3, gateways=0)
        self.document = with_more_routes(self.fleet.make_document(), routes)
        self.watchers = watchers
        self.out = tempfile.NamedTemporaryFile("r", suffix=".updates")
        self.child = None
        self.acks = {}  # Seconds by version: sent, acknowledged.

    def start(self):
        self.fleet.put_until_taken(self.document)
        control = [f"{ip}:{self.fleet.ports['inner']}"
                   for ip in self.fleet.control_ips]
        with open(self.out.name, "wb") as out:
            self.child = subprocess.Popen(
                [WATCHERS, str(self.watchers)] + control, stdout=out)
        time.sleep(3)  # Until all have the first version from the leader.

    def send(self, version):
        index = version % len(self.document["routes"])
        routes = list(self.document["routes"])
        routes[index] = dict(routes[index], timeout_ms=3000 + version)
        text = json.dumps(dict(self.document, version=version, routes=routes))
        sent = time.monotonic()
        status = self.fleet.call_control("POST", "/v1/config/replace", text,
                                         seconds=5)[0]
        if status == 200:
            self.acks[version] = (sent, time.monotonic())

    def change(self, rate, seconds):
        begun = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(IN_FLIGHT) as pool:
            for i in range(int(rate * seconds)):
                time.sleep(max(0, begun + i / rate - time.monotonic()))
                self.fleet.version += 1
                pool.submit(self.send, self.fleet.version)
        time.sleep(3)

    def in_force(self):
        """Returns the seconds from the acknowledgement of each version until
        each watcher has it or a newer one, and the bytes sent to all."""
        first, sizes = {}, 0
        for line in self.out:
            version, watcher, clock, size = map(int, line.split())
            first.setdefault(watcher, []).append((version, clock / 1e9))
            sizes += size
        delays = []
        for updates in first.values():
            for version, (_, acked) in self.acks.items():
                at = next((at for held, at in updates if held >= version), None)
                delays.append(float("inf") if at is None else
                              max(0.0, at - acked))
        return sorted(delays), sizes

    def usage(self):
        """Yields peak memory, processor time and bytes written of each control
        VM."""
        for ip in self.fleet.control_ips:
            folder = f"/proc/{self.fleet.processes[ip].child.pid}"
            with open(folder + "/status", encoding="ascii") as status:
                peak = next(int(line.split()[1]) / 1024 for line in status
                            if line.startswith("VmHWM:"))
            with open(folder + "/stat", encoding="ascii") as stat:
                fields = stat.read().rsplit(")", 1)[1].split()
            ticks = int(fields[11]) + int(fields[12])
            with open(folder + "/io", encoding="ascii") as counts:
                written = next(int(line.split()[1]) for line in counts
                               if line.startswith("write_bytes:"))
            yield peak, ticks / os.sysconf("SC_CLK_TCK"), written

    def close(self):
        if self.child:
            self.child.terminate()
            self.child.wait()
        self.fleet.close()


def at(values, part):
    return values[min(len(values) - 1, int(len(values) * part))]


def measure(routes, watchers, rate, seconds):
    run = Run(routes, watchers)
    try:
        run.start()
        before = list(run.usage())
        run.change(rate, seconds)
        after = list(run.usage())
        wait_until(run.fleet.get, "a read after the changes")
    finally:
        run.close()
    delays, sizes = run.in_force()
    took = sorted(acked - sent for sent, acked in run.acks.values())
    changes = int(rate * seconds)
    written = max(b[2] - a[2] for a, b in zip(before, after)) / changes
    return (f"| {routes} | {watchers} | {rate} | "
            f"{len(json.dumps(run.document)) / 1e6:.2f} MB | "
            f"{len(took)} of {changes} | {at(took, .5):.3f}, "
            f"{at(took, .99):.3f} s | {at(delays, .5):.3f}, "
            f"{at(delays, .99):.3f} s | {sizes / watchers / changes:.0f} | "
            f"{written / 1e3:.1f} kB | "
            f"{max(peak for peak, _, _ in after):.0f} MB | "
            f"{max(b[1] - a[1] for a, b in zip(before, after)) / seconds:.2f}"
            " |")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routes", type=int, nargs="+", default=[10000])
    parser.add_argument("--watchers", type=int, nargs="+", default=[300])
    parser.add_argument("--rate", type=float, default=10)
    parser.add_argument("--seconds", type=float, default=60)
    options = parser.parse_args()
    print("| routes | watchers | changes/s | document | acknowledged | "
          "acknowledged after, p50, p99 | in force after that, p50, p99 | "
          "bytes a change and watcher | written a change, most | "
          "peak memory, most | processors, most |")
    print("| --- " * 11 + "|")
    for routes in options.routes:
        for watchers in options.watchers:
            print(measure(routes, watchers, options.rate, options.seconds),
                  flush=True)


if __name__ == "__main__":
    main()
