#!/usr/bin/env python3
"""Prints statistics of pools and their owners from the log lines of gateways:
`platform_owners.py LOG [--from S] [--to S] [--report REPORT]`. LOG is the
output of a run with the logs of all gateways (time, VM and a JSON object per
line); REPORT adds the processor and network use of the busiest gateway."""

import argparse
import collections
import json


class Part:
    def __init__(self):
        self.calls = self.pieces = self.waiting = 0
        self.refused = self.no_room = self.input_gone = self.late = 0
        self.callers_by_second = collections.defaultdict(set)

    def take(self, event, time, node, line):
        if event == "call":
            self.calls += 1
            self.pieces += line["pieces"]
            self.waiting += line["waiting"]
            self.callers_by_second[int(time)].add(node)
        elif event == "call refused":
            self.refused += 1
        elif event == "pieces not made":
            self.no_room += line["no_room"]
            self.input_gone += line["input_gone"]
            self.late += line["late"]


def lines_of(path, first, last):
    with open(path, errors="replace") as log:
        for text in log:
            fields = text.split(None, 2)
            if len(fields) < 3 or not fields[2].startswith("{"):
                continue
            try:
                time, line = float(fields[0]), json.loads(fields[2])
            except ValueError:
                continue
            if first <= time < last:
                yield time, fields[1], line


def read(path, first, last):
    parts = collections.defaultdict(Part)
    events = collections.Counter()
    for time, node, line in lines_of(path, first, last):
        event = line.get("event", "")
        if line.get("part") == "stages" and "service" in line:
            parts[line["service"]].take(event, time, node, line)
        if event in ("owner lost", "home is full", "owners changed"):
            events[f"{line['part']}: {event}"] += 1
    return parts, events


def table(parts, events):
    lines = ["| part | calls | pieces a call | waiting at a call | refused | "
             "no room | input gone | late | most callers in a second |",
             "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"]
    for name, part in sorted(parts.items()):
        calls = max(1, part.calls)
        most = max((len(callers) for callers in
                    part.callers_by_second.values()), default=0)
        lines.append(f"| {name} | {part.calls} | {part.pieces / calls:.1f} | "
                     f"{part.waiting / calls:.1f} | {part.refused} | "
                     f"{part.no_room} | {part.input_gone} | {part.late} | "
                     f"{most} |")
    lines.append("")
    lines += [f"{event}: {count}" for event, count in sorted(events.items())]
    return "\n".join(lines)


def busiest(report):
    """Returns a table of each role's highest use by one VM. A role's figures in
    the report are pairs: mean and maximum of its VMs."""
    lines = ["", "| role | VMs | cores, most | kB/s in, most | kB/s out, most |",
             "| --- | --- | --- | --- | --- |"]
    for role, load in sorted(report["load"].items()):
        cores, _, received, sent = load["of"][:4]
        lines.append(f"| {role} | {load['machines']} | {cores[1] / 1000:.4f} | "
                     f"{received[1]:.0f} | {sent[1]:.0f} |")
    return "\n".join(lines)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log")
    parser.add_argument("--from", dest="first", type=float, default=0)
    parser.add_argument("--to", dest="last", type=float, default=float("inf"))
    parser.add_argument("--report")
    options = parser.parse_args()
    print(table(*read(options.log, options.first, options.last)))
    if options.report:
        with open(options.report) as report:
            print(busiest(json.load(report)))


if __name__ == "__main__":
    main()
