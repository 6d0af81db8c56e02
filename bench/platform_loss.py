#!/usr/bin/env python3
"""Prints the causes of a day's lost credit from reports of the users' bench:
`platform_loss.py REPORT...`; --svg FILE also draws the first report over
time."""

import argparse
import json

WIDTH, HEIGHT, MARGIN = 720, 240, 30
SERIES = (("in_aim", "#2a7", "on time"), ("late", "#fb3", "late"),
          ("refused", "#88c", "refused"), ("failed", "#d44", "failed"))


def table(report, name):
    parts = ", ".join(f"{part} {value:.3f} ({weight})"
                      for part, weight, value in report["parts"])
    lines = [f"### {name}", "",
             f"Worth {report['G']:.3f}: {parts}; less prices:", "",
             "| price | amount | of the credit owed |", "| --- | --- | --- |"]
    prices = [price for price in report["prices"] if price[2] >= 0.0005]
    for price, amount, share in sorted(prices, key=lambda p: -p[2]):
        lines.append(f"| {price} | {amount:,.1f} | {share:.4f} |")
    lines += ["", "| kind | asked | on time | late | refused | failed |",
              "| --- | --- | --- | --- | --- | --- |"]
    for kind in report["classes"]:
        lines.append(f"| {kind['name']} | {kind['n']} | {kind['in_aim']} | "
                     f"{kind['late']} | {kind['refused']} | {kind['failed']} |")
    return "\n".join(lines) + "\n"


def svg(report):
    windows = report["windows"]
    most = max(sum(window[key] for key, _, _ in SERIES)
               for window in windows) or 1
    step = (WIDTH - 2 * MARGIN) / len(windows)
    scale = (HEIGHT - 2 * MARGIN) / most
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
             f'height="{HEIGHT}" font-family="sans-serif" font-size="11">']
    for i, window in enumerate(windows):
        top = HEIGHT - MARGIN
        for key, colour, _ in SERIES:
            size = window[key] * scale
            top -= size
            parts.append(f'<rect x="{MARGIN + i * step:.1f}" y="{top:.1f}" '
                         f'width="{step - 1:.1f}" height="{size:.1f}" '
                         f'fill="{colour}"/>')
    for i, (_, colour, label) in enumerate(SERIES):
        x = MARGIN + 90 * i
        parts.append(f'<rect x="{x}" y="8" width="10" height="10" '
                     f'fill="{colour}"/><text x="{x + 14}" y="17">{label}'
                     f"</text>")
    parts.append(f'<text x="{MARGIN}" y="{HEIGHT - 10}">seconds of traffic, '
                 f"two a bar; highest bar {most} requests</text></svg>")
    return "\n".join(parts) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("reports", nargs="+")
    parser.add_argument("--svg")
    options = parser.parse_args()
    for path in options.reports:
        with open(path, encoding="utf-8") as file:
            report = json.load(file)
        print(table(report, path.rsplit("/", 1)[-1].removesuffix(".json")))
        if options.svg and path == options.reports[0]:
            with open(options.svg, "w", encoding="utf-8") as file:
                file.write(svg(report))


if __name__ == "__main__":
    main()
