#!/usr/bin/env python3
"""Plays the same days with the same seeds on trees of two codes, and says whether the second earns more.

Single days differ by 0.05 to 0.1 with the luck of who leaves, so a change of policy is judged by the mean of several days
and seeds, each played on both trees. The bench and the site are named on the command line.

    bench/compare.py --bench PROGRAM --site FILE --trees BEFORE AFTER --why TEXT [--days D ...] [--seeds N ...] [--jobs N]

One tree alone is measured and not compared. Journal entries stay in the trees' `journal/` and are copied by hand.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import math
import pathlib
import statistics
import subprocess
import tempfile

TROUBLE_DAYS = ["trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"]
SEEDS = [101, 102, 103]
# A mean difference counts as outside the noise beyond so many standard errors of the paired differences.
STANDARD_ERRORS = 2.0
# Prices below this in all trees are not printed.
LEAST_PRICE = 0.003


@dataclasses.dataclass(frozen=True)
class Play:
    """One day with one seed on one tree."""

    tree: str
    day: str
    seed: int


@dataclasses.dataclass
class Result:
    worth: float
    broken: list[str]
    prices: dict[str, float]
    parts: dict[str, float]
    # By class: shares of the requests that were in their aim, late, refused, failed.
    classes: dict[str, tuple[float, float, float, float]]


def result_of(report: dict) -> Result:
    classes = {}
    for row in report["classes"]:
        owed = max(row["n"] - row["not_owed"], 1)
        classes[row["name"]] = tuple(row[name] / owed for name in ("in_aim", "late", "refused", "failed"))
    broken = [f"{rule} {count}" for rule, count in report["breaks"].items()]
    if report["fault"]:
        broken.append(f"fault: {report['fault']}")
    # Rows are name, amount, price, and name, weight, share.
    prices = {row[0]: float(row[-1]) for row in report["prices"]}
    parts = {row[0]: float(row[-1]) for row in report["parts"]}
    return Result(report["G"], broken, prices, parts, classes)


def play(options: argparse.Namespace, what: Play) -> Result | str:
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder, "report.json")
        command = [options.bench, "run", options.site, what.day, "--seed", str(what.seed), "--report", str(report),
                   "--jobs", "1", "--why", f"{options.why} ({what.day}, seed {what.seed})"]
        ended = subprocess.run(command, cwd=what.tree, capture_output=True, text=True, check=False)
        if not report.exists():
            return f"not played: {(ended.stdout + ended.stderr).strip()[-300:]}"
        return result_of(json.loads(report.read_text()))


def mean(values: list[float]) -> float:
    return statistics.fmean(values) if values else math.nan


def standard_error(values: list[float]) -> float:
    return statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else math.inf


def verdict(differences: list[float]) -> str:
    """Says whether paired differences are outside the noise."""
    if len(differences) < 2:
        return "too few plays to tell"
    change = mean(differences)
    error = standard_error(differences)
    word = "within the noise"
    if abs(change) > STANDARD_ERRORS * error:
        word = "better" if change > 0 else "worse"
    return f"{change:+.4f} +- {error:.4f}: {word}"


def day_rows(results: dict[Play, Result], trees: list[str], days: list[str], seeds: list[int]) -> list[str]:
    rows = ["| day | " + " | ".join(f"worth {i + 1}" for i in range(len(trees))) + " | spread | broken |",
            "|---|" + "---|" * (len(trees) + 2)]
    for day in days:
        of_trees = [[results[Play(tree, day, seed)] for seed in seeds if Play(tree, day, seed) in results] for tree in trees]
        worth = " | ".join(f"{mean([one.worth for one in some]):.4f}" for some in of_trees)
        spread = statistics.stdev([one.worth for one in of_trees[0]]) if len(of_trees[0]) > 1 else 0.0
        broken = ", ".join(word for some in of_trees for one in some for word in one.broken) or "none"
        rows.append(f"| {day} | {worth} | {spread:.3f} | {broken} |")
    return rows


def detail_rows(results: dict[Play, Result], trees: list[str]) -> list[str]:
    of_trees = [[result for what, result in results.items() if what.tree == tree] for tree in trees]
    rows = []
    for name in of_trees[0][0].parts:
        rows.append(f"part {name}: " + ", ".join(f"{mean([one.parts.get(name, 0) for one in some]):.4f}" for some in of_trees))
    for name in of_trees[0][0].prices:
        values = [mean([one.prices.get(name, 0) for one in some]) for some in of_trees]
        if max(abs(value) for value in values) >= LEAST_PRICE:
            rows.append(f"price {name}: " + ", ".join(f"{value:.4f}" for value in values))
    for name in of_trees[0][0].classes:
        shares = []
        for some in of_trees:
            columns = zip(*(one.classes[name] for one in some if name in one.classes))
            shares.append("/".join(f"{mean(list(column)):.3f}" for column in columns))
        rows.append(f"class {name}, in aim/late/refused/failed: " + ", ".join(shares))
    return rows


def summary(results: dict[Play, Result], trees: list[str], days: list[str], seeds: list[int]) -> str:
    """Tables of all plays, and the verdict of the first two trees."""
    lines = day_rows(results, trees, days, seeds)
    lines += detail_rows(results, trees)
    for tree in trees:
        lines.append(f"mean worth of {tree}: {mean([r.worth for what, r in results.items() if what.tree == tree]):.4f}")
    for other in trees[1:]:
        pairs = [(Play(trees[0], day, seed), Play(other, day, seed)) for day in days for seed in seeds]
        differences = [results[b].worth - results[a].worth for a, b in pairs if a in results and b in results]
        lines.append(f"{other} against {trees[0]}, {len(differences)} pairs: {verdict(differences)}")
    return "\n".join(lines)


def build(bench: str, tree: str, why: str) -> None:
    built = subprocess.run([bench, "build", "--why", f"{why} (build)"], cwd=tree, capture_output=True, text=True, check=False)
    if built.returncode != 0:
        raise SystemExit(f"{tree} was not built: {(built.stdout + built.stderr)[-500:]}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--trees", nargs="+", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--days", nargs="+", default=TROUBLE_DAYS)
    parser.add_argument("--seeds", nargs="+", type=int, default=SEEDS)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    for tree in options.trees:
        build(options.bench, tree, options.why)
    plays = [Play(tree, day, seed) for seed in options.seeds for day in options.days for tree in options.trees]
    results = {}
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for what, result in zip(plays, pool.map(lambda what: play(options, what), plays)):
            if isinstance(result, str):
                print(f"{what}: {result}")
            else:
                results[what] = result
    print(summary(results, options.trees, options.days, options.seeds))


if __name__ == "__main__":
    main()
