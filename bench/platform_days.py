#!/usr/bin/env python3
"""Runs days with one fault each, or with pairs of faults, on a deployment and
prints a table of faults and results. The bench's program and the site file are
arguments: `platform_days.py PROGRAM SITE [--pairs] [--only WORD] [--jobs N]`.
Day files are written to bench/days/."""

import argparse
import concurrent.futures
import json
import os
import re
import subprocess
import sys
import tempfile
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAYS = os.path.join(ROOT, "bench", "days")
# Seconds of traffic at which a fault begins: three times, and again right after
# the third.
MOMENTS = (3.0, 11.0, 20.0, 20.6)
SEED = 20261202
# Faults that are planned operations.
PLANNED = {"roll_term", "release", "scale_in", "scale_out", "config_change",
           "config_storm", "config_race", "bad_config", "big_config", "revoke",
           "hup", "seed_turnover"}
VARIANTS = {
    "burst": [{"x": 2.0}], "shift": [{"share": 0.5}], "hot_key": [{}],
    "retry_abuse": [{"x": 3.0, "share": 0.3}],
    "give_up": [{"share": 0.3}, {"share": 0.3, "how": "once"}],
    "srv_crash": [{}, {"how": "dark"}, {"how": "gone"}, {"how": "domain"}],
    "srv_slow": [{"share": 0.3}],
    "srv_grey": [{"how": how} for how in
                 ("errors", "shed", "busy", "hang", "reset", "mute", "slow")],
    "release": [{"share": 0.4}], "scale_in": [{}, {"how": "spot"}],
    "scale_out": [{}], "answer_lost": [{"x": 0.1}, {"x": 0.1, "how": "reset"}],
    "garble": [{"x": 0.1}] + [{"x": 0.1, "how": how} for how in
                              ("extra", "extra late", "unframed", "early")],
    "replace_with_reuse": [{}, {"how": "drain"}, {"how": "dark"}],
    "srv_cut": [{}, {"how": "fronts"}, {"how": "one_way"}, {"how": "reset"},
                {"how": "reborn"}, {"how": "some"}],
    "srv_lying_health": [{}], "srv_flap": [{}],
    "node_kill": [{"share": 0.2}, {"share": 0.2, "how": "power"},
                  {"on": "core", "count": 1, "how": "leader race drain"},
                  {"on": "core", "count": 2, "how": "power"},
                  {"on": "core", "count": 1, "how": "seed hard meet"}],
    "node_freeze": [{"share": 0.2},
                    {"on": "core", "count": 1, "how": "leader meet drain"}],
    "node_slow": [{"share": 0.2}, {"on": "core", "count": 1}],
    "node_cut": [{"share": 0.2}, {"share": 0.2, "how": "all"},
                 {"share": 0.2, "how": "servers"}],
    "roll_term": [{"share": 0.5}, {"share": 0.5, "how": "busy"},
                  {"on": "core", "how": "leader"}],
    "herd_kill": [{}, {"how": "power"}, {"on": "core"},
                  {"on": "core", "how": "off"},
                  {"on": "core", "how": "taken"}],
    "add_nodes": [{}],
    "seed_turnover": [{}], "after_ack_wipe": [{}, {"how": "oldest"}],
    "after_ack_kill": [{}, {"how": "kill"}, {"how": "timed"},
                       {"how": "taken"}],
    "replace_core": [{}, {"how": "planned"}, {"how": "oldest"}],
    "disk_slow": [{"x": 30.0}, {"x": 30.0, "how": "leader"}],
    "disk_full": [{}], "disk_stall": [{}, {"how": "leader"}],
    "clock_step": [{"how": "ahead", "x": 5000.0},
                   {"how": "back", "x": 5000.0}],
    "core_cut": [{"count": 1, "how": how} for how in
                 ("", "leader", "leader refuse", "behind", "split", "all",
                  "one_way", "seeds", "both", "lure", "relieve", "reader",
                  "leader race")],
    "lossy": [{"x": 0.04}], "reset_conns": [{"share": 0.3}], "hup": [{}],
    "ack_lost": [{"x": 0.7}],
    "config_change": [{"how": how} for how in
                      ("route", "weights", "timeout", "tenant", "idle")],
    "config_storm": [{"gap_s": 0.1}], "config_race": [{"count": 3}],
    "bad_config": [{"how": how} for how in
                   ("cut_short", "unknown_service", "same_place", "no_weight",
                    "no_timeout", "old_version", "same_version",
                    "shared_key")],
    "big_config": [{"count": 420}], "revoke": [{}, {"how": "last"}],
}
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")
# The single faults with the highest cost.
WORST = (("herd_kill", {"how": "power"}), ("core_cut", {"how": "leader"}),
         ("node_kill", {"share": 0.2, "how": "power"}),
         ("roll_term", {"share": 0.5, "how": "busy"}),
         ("srv_crash", {"how": "dark", "share": 0.3}))


def entry_text(entry):
    def value(item):
        return json.dumps(item)
    return "{ " + ", ".join(f"{k} = {value(v)}" for k, v in entry.items()) + " }"


def traffic_text(site):
    def table(item):
        if isinstance(item, dict):
            return "{ " + ", ".join(f"{k} = {table(v)}"
                                    for k, v in item.items()) + " }"
        return json.dumps(item)
    return "[\n" + "".join(f"  {table(item)},\n"
                           for item in site["traffic"]) + "]"


def day_text(name, entries, closing, site):
    lists = {"plan": [], "faults": []}
    for entry in entries:
        lists["plan" if entry["kind"] in PLANNED else "faults"].append(entry)
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {SEED}"]
    if closing:
        lines.append(f'closing = {{ kind = "{closing}", down_s = 1.0 }}')
    for key, items in lists.items():
        lines.append(f"{key} = [")
        lines += [f"  {entry_text(item)}," for item in items]
        lines.append("]")
    lines.append("traffic = " + traffic_text(site))
    return "\n".join(lines) + "\n"


def at_moments(kind, variant):
    return [{"at": at, "kind": kind, **variant} for at in MOMENTS]


def make_days(site, pairs):
    days = {}
    index = 0
    for kind, variants in VARIANTS.items():
        for variant in variants:
            words = [kind, variant.get("on", ""), variant.get("how", "")]
            name = "-".join(re.sub(r"\W+", "_", word)
                            for word in words if word)
            entries = at_moments(kind, variant)
            closing = CLOSINGS[index % len(CLOSINGS)]
            index += 1
            if not pairs:
                days[name] = day_text(name, entries, closing, site)
                continue
            for other, how in WORST:
                both = f"{name}+{other}"
                more = [{"at": at + 0.4, "kind": other, **how}
                        for at in MOMENTS[:3]]
                days[both] = day_text(both, entries + more, closing, site)
    return days


def play(program, site_path, name, text, folder):
    path = os.path.join(folder, name + ".toml")
    report = os.path.join(folder, name + ".json")
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    done = subprocess.run(
        [program, "run", site_path, path, "--report", report, "--jobs", "1",
         "--why", f"day of its own: {name}"],
        cwd=ROOT, capture_output=True, text=True, check=False)
    if not os.path.exists(report):
        return name, "not played", done.stdout[-300:] + done.stderr[-300:]
    with open(report, encoding="utf-8") as file:
        result = json.load(file)
    broken = result["breaks"]
    if broken or result["fault"]:
        return name, "RED", f"{broken} {result['fault']}"
    return name, "ok", f"worth {result['G']:.3f} served {result['served']:.3f}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("site")
    parser.add_argument("--pairs", action="store_true")
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--keep", action="store_true",
                        help="write the day files to bench/days")
    options = parser.parse_args()
    with open(options.site, "rb") as file:
        site = tomllib.load(file)
    days = {name: text for name, text in
            make_days(site, options.pairs).items() if options.only in name}
    if options.keep:
        os.makedirs(DAYS, exist_ok=True)
        for name, text in days.items():
            with open(os.path.join(DAYS, name + ".toml"), "w",
                      encoding="utf-8") as file:
                file.write(text)
    red = 0
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        plays = [pool.submit(play, options.program, options.site, name, text,
                             folder) for name, text in days.items()]
        for done in plays:
            name, result, more = done.result()
            red += result != "ok"
            print(f"{name:32} {result:10} {more}", flush=True)
    print(f"{len(days)} days on {site['name']}, {red} not ok")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
