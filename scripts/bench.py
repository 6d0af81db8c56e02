"""Runs the benchmarks and compares them with bench/bounds.json.

Bounds are ratios to a baseline measured in the same run, so that the verdict
does not depend on the speed of the machine.
"""

import argparse
import glob
import json
import os
import statistics
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))

# pylint: disable=wrong-import-position
from process import deployments, processes
from process.cluster import Cluster

BOUNDS = os.path.join(ROOT, "bench", "bounds.json")
DRIVER = os.path.join(processes.BUILD, "bench", "bench-path")
STAGES = ("t-encoder", "t-retriever", "t-reranker", "t-engine")
GROUPS = 16
GATEWAY_THREADS = 4
FAKE_THREADS = 4
ROUNDS = 3
# Requests in flight, milliseconds per stage, requests per round. Stages wait
# so that the gateway is measured and not the queueing for processors.
LATENCY_RUNS = ((1, 0, 1000), (32, 5, 2000), (256, 40, 4000))
THROUGHPUT_IN_FLIGHT = 64
THROUGHPUT_REQUESTS = 12000
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return round(int(line.split()[1]) / 1024, 1)


class PathBench:
    """Compares calls through a gateway with direct calls to the fakes."""

    def __init__(self, cluster):
        self.cluster = cluster
        servers = cluster.fake_ports["servers"]
        self.direct = [servers[f"{stage}-{group + 1}"]
                       for group in range(GROUPS) for stage in STAGES]
        self.gateway = cluster.ports["gateway-1"]["callers"]
        self.pid = cluster.gateways[0].child.pid

    def drive(self, direct, in_flight, requests):
        ports = self.direct if direct else [self.gateway]
        command = [DRIVER, "--ports", ",".join(map(str, ports)),
                   "--in-flight", str(in_flight), "--requests", str(requests)]
        command += ["--direct"] if direct else [
            "--pipeline", "t-ask", "--key", deployments.key_of("buyers")]
        done = subprocess.run(command, capture_output=True, text=True,
                              timeout=120, check=False)
        if done.returncode:
            raise RuntimeError(done.stdout + done.stderr[-2000:])
        return json.loads(done.stdout)

    def latency(self, in_flight, stage_ms, requests):
        """Returns medians of rounds that alternate between direct calls and
        calls through the gateway."""
        self.cluster.fault("*", slow_ms=stage_ms)
        self.drive(False, in_flight, requests // 4)
        rounds = [(self.drive(True, in_flight, requests),
                   self.drive(False, in_flight, requests))
                  for _ in range(ROUNDS)]
        result = {"in_flight": in_flight, "stage_ms": stage_ms,
                  "requests": requests * ROUNDS,
                  "refused": sum(gateway["refused"] for _, gateway in rounds)}
        for name in ("p50_us", "p99_us", "first_token_p50_us"):
            direct, gateway = (statistics.median(r[way][name] for r in rounds)
                               for way in (0, 1))
            result[name] = {"direct": round(direct), "gateway": round(gateway),
                            "added": round(gateway - direct),
                            "ratio": round(gateway / direct, 3)}
        return result

    def throughput(self):
        self.cluster.fault("*", slow_ms=0)
        direct = self.drive(True, THROUGHPUT_IN_FLIGHT, THROUGHPUT_REQUESTS)
        used = cpu_seconds(self.pid)
        run = self.drive(False, THROUGHPUT_IN_FLIGHT, THROUGHPUT_REQUESTS)
        used = cpu_seconds(self.pid) - used
        return {"requests_per_second": round(run["requests_per_second"]),
                "refused": run["refused"],
                "cores_used": round(used / run["seconds"], 2),
                "requests_per_core_second": round(THROUGHPUT_REQUESTS / used),
                "direct_requests_per_second":
                    round(direct["requests_per_second"]),
                "ratio": round(run["requests_per_second"] /
                               direct["requests_per_second"], 3)}

    def run(self):
        result = {"rss_at_rest_mb": resident_mb(self.pid),
                  "latency": [self.latency(*run) for run in LATENCY_RUNS],
                  "throughput": self.throughput()}
        result["rss_after_load_mb"] = resident_mb(self.pid)
        return result


def bench_path():
    fleet = deployments.small((GROUPS,) * len(STAGES), pace_us=0)
    fleet.record = False
    with Cluster([fleet], controls=0, gateways=1, threads=FAKE_THREADS,
                 gateway_settings={"threads": GATEWAY_THREADS}) as cluster:
        return PathBench(cluster).run()


def google_benchmarks(topic):
    """Runs build/bench/bench-<topic>*; returns {name: entry}."""
    results = {}
    for program in sorted(glob.glob(os.path.join(
            processes.BUILD, "bench", f"bench-{topic}*"))):
        with tempfile.NamedTemporaryFile(suffix=".json") as file:
            subprocess.run([program, f"--benchmark_out={file.name}",
                            "--benchmark_out_format=json"], check=True,
                           stdout=subprocess.DEVNULL, timeout=600)
            for entry in json.load(file)["benchmarks"]:
                results[entry["name"]] = {
                    key: value for key, value in entry.items()
                    if isinstance(value, (int, float)) and
                    not key.endswith("index") and key != "threads"}
    return results


def value_at(results, path):
    """Returns the value at a path like "path/latency/0/p50_us/ratio"; names may
    contain "/"."""
    if not path:
        return results
    if isinstance(results, list):
        head, _, rest = path.partition("/")
        return value_at(results[int(head)], rest)
    for name, value in results.items():
        if path == name or path.startswith(name + "/"):
            return value_at(value, path[len(name) + 1:])
    raise KeyError(path)


def check(results, topics):
    """Prints each bound of the topics; returns whether all hold."""
    with open(BOUNDS, encoding="utf-8") as file:
        bounds = json.load(file)
    good = True
    for bound in bounds["bounds"]:
        if bound["value"].split("/")[0] not in topics:
            continue
        value = value_at(results, bound["value"])
        if "baseline" in bound:
            value /= value_at(results, bound["baseline"])
        held = bound.get("least", value) <= value <= bound.get("most", value)
        good = good and held
        print(f"{'held' if held else 'BROKEN'}: {bound['name']}: "
              f"{value:.3f}, bound "
              f"{bound.get('least', '')}..{bound.get('most', '')}",
              file=sys.stderr)
    return good


def main():
    topics = ("path", "control", "policy")
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("topic", nargs="?", default="all",
                           choices=topics + ("all",))
    topic = arguments.parse_args().topic
    chosen = topics if topic == "all" else (topic,)
    results = {name: bench_path() if name == "path" else
               google_benchmarks(name) for name in chosen}
    json.dump(results, sys.stdout, indent=2)
    print()
    return 0 if check(results, chosen) else 1


if __name__ == "__main__":
    sys.exit(main())
