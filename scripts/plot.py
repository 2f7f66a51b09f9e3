#!/usr/bin/env python3
"""Plots the processor time of each decision by problem size.

Prints a table with the exponent of growth, the slope in double-logarithmic
scale, and writes one PNG per decision with gnuplot.

Usage: plot.py FOLDER, which has decisions.json of Google Benchmark
"""
import json
import math
import subprocess
import sys


def exponent(points):
    """Returns the least-squares slope in double-logarithmic scale."""
    xs = [math.log(x) for x, _ in points]
    ys = [math.log(y) for _, y in points]
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    sum_xx = sum((x - mean_x) ** 2 for x in xs)
    return sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum_xx


def read(path):
    """Returns the (size, microseconds) points of each benchmark."""
    series = {}
    for row in json.load(open(path))["benchmarks"]:
        parts = row["name"].split("/")
        if row.get("run_type") != "iteration" or len(parts) < 2:
            continue
        scale = {"ns": 1e-3, "us": 1.0, "ms": 1e3}[row["time_unit"]]
        series.setdefault(parts[0][3:], []).append(
            (int(parts[1]), row["cpu_time"] * scale))
    return series


def main(folder):
    series = read(folder + "/decisions.json")
    print("  %-18s %9s   %s" % ("decision", "exponent", "us by size"))
    for name, points in series.items():
        print("  %-18s %9.2f   %s" % (
            name, exponent(points),
            "  ".join("%d: %.2f" % point for point in points)))
        data = "\n".join("%d %f" % point for point in points)
        script = (
            "set terminal png size 640,400\n"
            "set output '%s/%s.png'\nset logscale xy\n"
            "set xlabel 'size'\nset ylabel 'microseconds'\n"
            "set title '%s, exponent %.2f'\n"
            "plot '-' with linespoints notitle\n%s\ne\n"
            % (folder, name, name, exponent(points), data))
        subprocess.run(["gnuplot"], input=script.encode(), check=False)


if __name__ == "__main__":
    main(sys.argv[1])
