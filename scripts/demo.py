"""Runs the demo: requests of both deployments to real processes. Every answer
is checked."""

import argparse
import collections
import os
import signal
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))

# pylint: disable=wrong-import-position
from checker import checker
from process import deployments
from process.cluster import Cluster

SHOWN = 44
# Account, pipeline, text, whether streamed, idempotency key if it runs once.
REQUESTS = [
    ("sellers", "qurak-bundle-listing",
     "Lot 7713: 14 m cotton ends, 3 kg linen offcuts, dyed 2026", False, None),
    ("buyers", "qurak-fibre-question",
     "Is the indigo remnant colourfast at 40 degrees?", True, None),
    ("buyers", "qurak-patchwork-pairing",
     "What pairs with ochre linen and madder cotton?", False, None),
    ("buyers", "qurak-patchwork-pairing",
     "Which three greys suit a log cabin block?", True, None),
    ("cutting-table", "qurak-order-confirmation",
     "Confirm order 5102: 2.5 m of bolt end 88", False, "order-5102"),
    ("members", "brazos-plan-choice",
     "Usage 940 kWh a month, nights mostly: which plan?", False, None),
    ("clerks", "brazos-enrollment",
     "Draft the enrollment of member 30417 in Fixed-12", False,
     "enrollment-30417"),
    ("members", "brazos-switch-date",
     "Why did my switch date move to the ninth?", True, None),
    ("members", "brazos-switch-date",
     "Will the holdover rate apply on the tenth?", True, None),
    ("nightly", "brazos-transfer-check",
     "Pending transfer 1 of 3: 30417", False, None),
    ("nightly", "brazos-transfer-check",
     "Pending transfer 2 of 3: 30418", False, None),
    ("nightly", "brazos-transfer-check",
     "Pending transfer 3 of 3: 30419", False, None),
]
SERVICES = [
    ("cutting-table", "qurak-cutting-table", "/cut",
     "Cut 2.5 m of bolt end 88 for order 5102", "cut-5102"),
    ("clerks", "brazos-supplier-enrollment", "/enroll",
     "Enroll member 30417 in Fixed-12", "enroll-30417"),
]


def send_all(cluster, with_control):
    """Sends all requests, to the gateways in turn."""
    calls = []
    for account, pipeline, text, stream, key in REQUESTS:
        if key and not with_control:
            continue
        once_pool = pipeline.split("-")[0] + "-engine" if key else None
        way = cluster.caller(len(calls) % len(cluster.gateways), account)
        call = way.chat(pipeline, text, deployments.TOKENS, stream, once_pool,
                        key)
        calls.append((pipeline, call))
        show(pipeline, call)
    for account, service, path, body, key in SERVICES if with_control else ():
        way = cluster.caller(len(calls) % len(cluster.gateways), account)
        call = way.service("POST", f"/services/{service}{path}", body,
                           service, key)
        calls.append((service, call))
        show(service, call)
    return calls


def resend(cluster, calls):
    """Resends the requests with an idempotency key, each to another gateway
    than before."""
    again = []
    for account, pipeline, text, stream, key in REQUESTS:
        if key:
            index = [call.text for _, call in calls].index(text) + 1
            client = cluster.caller(index % len(cluster.gateways), account)
            call = client.chat(pipeline, text, deployments.TOKENS, stream,
                               pipeline.split("-")[0] + "-engine", key)
            again.append((pipeline, call))
            show(pipeline + " (again)", call)
    return again


def show(target, call):
    # A complete answer implies that the request ran.
    outcome = "whole, ran" if call.whole else f"{call.reason} {call.verdict}"
    milliseconds = (call.ended - call.sent) * 1000
    answer = call.answer.strip()
    if len(answer) > SHOWN:
        answer = answer[:SHOWN] + "..."
    print(f"{target:34} {outcome:6} {milliseconds:6.1f} ms  {answer}")


def change_target(cluster):
    """Changes a class target and waits until every gateway has it."""
    before = time.time()
    version = cluster.apply({"classes": {"interactive": {"answer_ms": 5500}}})
    cluster.wait_version(version)
    print(f"class interactive: answer_ms 5500 as version {version}, in force "
          f"at {len(cluster.gateways)} gateways after "
          f"{time.time() - before:.2f} s")


def show_costs(calls):
    costs = collections.Counter()
    for _, call in calls:
        for stage, cost in call.cost_by_stage.items():
            costs[stage] += cost["cost"]
    parts = ", ".join(f"{stage} {cost:g}" for stage, cost in costs.items())
    print(f"cost by stage, micro-units: {parts}")


def show_attainment(calls):
    by_class = collections.defaultdict(list)
    for target, call in calls:
        name = "batch" if "transfer-check" in target else "interactive"
        limit = deployments.CLASSES[name]["answer_ms"] / 1000
        by_class[name].append(call.whole and call.ended - call.sent <= limit)
    for name, met in by_class.items():
        wanted = deployments.CLASSES[name]["attainment"]
        print(f"attainment of class {name}: {sum(met) / len(met):.2f} of "
              f"{len(met)} requests, target {wanted}")


def settle(cluster, calls):
    """Checks all records and prints the last line; returns the exit code."""
    faults = checker.check([call for _, call in calls], cluster.runs())
    if checker.total(faults):
        print(checker.report(faults))
    whole = sum(call.whole for _, call in calls)
    doubled = len(faults[checker.DOUBLED]) + len(faults[checker.SECOND_RUN])
    lost = len(calls) - whole
    line = (f"demo: {len(calls)} requests, {whole} whole answers, {lost} "
            f"lost, {doubled} doubled")
    return line, lost == 0 and checker.total(faults) == 0


def stop(*_):
    raise KeyboardInterrupt


def keep(cluster):
    print("running; end with Ctrl-C or SIGTERM", flush=True)
    for name, ports in cluster.ports.items():
        print(f"  {name}: " + ", ".join(
            f"{part} 127.0.0.1:{port}" for part, port in ports.items()))
    print("  keys: " + ", ".join(deployments.key_of(account)
                                 for account in deployments.ACCOUNTS))
    try:
        while all(gateway.running() for gateway in cluster.gateways):
            time.sleep(1)
    except KeyboardInterrupt:
        pass


def main():
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--keep", action="store_true",
                           help="leave everything running")
    arguments.add_argument("--controls", type=int, default=3)
    options = arguments.parse_args()
    # Also set for SIGINT, which is ignored in background processes.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, stop)
    cluster = Cluster([deployments.qurak(), deployments.brazos()],
                      controls=options.controls)
    with cluster:
        print(f"{len(cluster.controls)} control, {len(cluster.gateways)} "
              f"gateways, {len(cluster.fake_ports['servers'])} fakes started")
        calls = send_all(cluster, bool(options.controls))
        if options.controls:
            change_target(cluster)
            calls += resend(cluster, calls)
        show_attainment(calls)
        show_costs(calls)
        line, good = settle(cluster, calls)
        if options.keep:
            keep(cluster)
        codes = cluster.close()
    stopped = all(code == 0 for code in codes.values())
    if not stopped:
        print(f"exit codes: {codes}")
    print(line)
    return 0 if good and stopped else 1


if __name__ == "__main__":
    sys.exit(main())
