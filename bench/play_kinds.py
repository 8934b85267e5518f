#!/usr/bin/env python3
"""Plays days that hold one kind of disruption each, twice over and paired with a loss, and prints a table.

A day of its own shows what a single kind costs and whether it breaks a rule; hunts mix kinds and show neither. The
bench is named on the command line, so that nothing here knows where it lies.

    bench/play_kinds.py --bench PROGRAM --site FILE --trees DIR [DIR ...] --why TEXT [--only WORD] [--form FORM]

Each tree is a copy of the repository; days are shared out among them, one at a time in each. Journal entries stay in
the trees' `journal/` and are copied from there by hand.
"""

import argparse
import dataclasses
import json
import pathlib
import queue
import subprocess
import tempfile
import threading

FIRST_AT = 5.0
SECOND_AT = 17.0
LOSS_DELAY = 0.6
DAY_SEED = 4711


@dataclasses.dataclass(frozen=True)
class Disruption:
    """One kind with its variant, as a line of a day; `planned` ones stand under `plan`."""

    kind: str
    fields: str = ""
    planned: bool = False

    def line(self, at: float) -> str:
        more = f", {self.fields}" if self.fields else ""
        return f'{{ kind = "{self.kind}", at = {at}{more} }}'

    def name(self) -> str:
        return f"{self.kind} {self.fields}".strip().replace('"', "")


def faults(kind: str, *variants: str) -> list[Disruption]:
    return [Disruption(kind, fields) for fields in variants]


def plans(kind: str, *variants: str) -> list[Disruption]:
    return [Disruption(kind, fields, planned=True) for fields in variants]


DISRUPTIONS = [
    *faults("burst", "x = 1.7, for_s = 4"),
    *faults("shift", "share = 0.6, for_s = 6"),
    *faults("hot_key", "share = 0.4, for_s = 5, count = 60", "share = 0.5, for_s = 5, count = 1"),
    *faults("retry_abuse", "x = 3, share = 0.4, for_s = 5"),
    *faults("give_up", "share = 0.3, for_s = 5"),
    *faults("srv_crash", "for_s = 4", 'for_s = 4, how = "dark"', 'how = "gone"', 'how = "across", for_s = 3'),
    *faults("srv_slow", "x = 5, for_s = 6", "x = 12, share = 0.4, for_s = 6"),
    *faults("srv_grey", "for_s = 6", 'how = "hang", for_s = 6', 'how = "reset", for_s = 6', 'how = "mute", for_s = 6',
            'how = "shed", for_s = 6', 'how = "busy", for_s = 6', 'how = "slow", x = 8, for_s = 6'),
    *faults("srv_lying_health", 'how = "errors", for_s = 6', 'how = "hang", for_s = 6', 'how = "reset", for_s = 6',
            'how = "bad", for_s = 6'),
    *faults("srv_flap", "gap_s = 1.5, for_s = 8"),
    *faults("idle_race", "for_s = 6"),
    *faults("srv_cut", "for_s = 6", 'how = "fronts", for_s = 6', 'how = "some", for_s = 6',
            'how = "some lossy", for_s = 6', 'how = "one_way", for_s = 6', 'how = "reset", for_s = 6'),
    *plans("release", "share = 0.5, x = 1, gap_s = 1"),
    *faults("replace_with_reuse", "", 'how = "drain"', 'how = "dark"', 'how = "side"'),
    *plans("scale_out", "share = 0.3, gap_s = 2"),
    *plans("scale_in", "share = 0.15", 'share = 0.15, how = "spot"', 'how = "reclaim"'),
    *faults("answer_lost", "x = 0.1, for_s = 5", 'how = "reset", x = 0.1, for_s = 5'),
    *faults("garble", "x = 0.05, for_s = 5", 'how = "extra late", x = 0.05, for_s = 5',
            'how = "unframed", x = 0.05, for_s = 5', 'how = "early", x = 0.05, for_s = 5'),
    *faults("node_kill", "share = 0.2", 'share = 0.2, how = "power", for_s = 3',
            'on = "core", count = 1, for_s = 3, how = "leader race drain"', 'on = "core", count = 1, how = "meet drain"',
            'on = "core", count = 1, how = "leader hard", for_s = 4', 'on = "core", count = 1, how = "giver race"'),
    *faults("node_slow", "share = 0.2, x = 6, for_s = 5"),
    *faults("node_freeze", "share = 0.2, for_s = 1", "share = 0.2, for_s = 4", "share = 0.2, for_s = 12"),
    *plans("roll_term", "share = 0.5, x = 1, gap_s = 1", 'how = "busy", gap_s = 1', 'share = 0.2, how = "remove"'),
    *faults("herd_kill", "share = 0.6", 'share = 0.6, how = "power", for_s = 2',
            'on = "core", how = "off", for_s = 1.5', 'on = "core"'),
    *faults("after_ack_kill", "for_s = 3", 'how = "kill"', 'how = "timed", for_s = 2'),
    *faults("reset_conns", "share = 0.5, x = 0.6"),
    *faults("core_cut", "for_s = 5", 'for_s = 5, how = "leader one_way"', 'for_s = 5, how = "all"',
            'for_s = 5, how = "near"', 'for_s = 5, how = "reset"', 'for_s = 5, how = "refuse"',
            'for_s = 12, how = "leader meet drain"', 'for_s = 5, how = "relieve"', 'for_s = 5, how = "both"',
            'for_s = 5, how = "lure"', 'for_s = 5, how = "split"'),
    *faults("node_cut", "share = 0.2, for_s = 5", 'share = 0.2, for_s = 5, how = "all"',
            'share = 0.4, for_s = 5, how = "servers"', 'share = 0.2, for_s = 12, how = "all reset"'),
    *faults("lossy", "x = 0.05, for_s = 5"),
    *faults("platform_down", 'how = "silent", for_s = 6', 'how = "busy", for_s = 6', 'how = "reset", for_s = 6',
            'how = "silent lapse", for_s = 6', "for_s = 11", 'how = "nodes busy", for_s = 6',
            'how = "nodes many", for_s = 6', 'how = "nodes reset leader", for_s = 6', 'how = "nodes", for_s = 11'),
    *faults("platform_slow", "x = 60, for_s = 5", "x = 200, for_s = 6"),
    *faults("platform_lost", "x = 0.4, for_s = 5", 'x = 0.4, for_s = 5, how = "late"'),
    *faults("platform_compact", "x = 5, for_s = 8", 'x = 5, for_s = 8, how = "drain"'),
    *plans("config_change", 'how = "route"', 'how = "weights"', 'how = "timeout"', 'how = "idle"'),
    *plans("config_storm", 'gap_s = 0.08, for_s = 3, how = "route"'),
    *plans("big_config", "count = 350"),
    *faults("applied_late", 'x = 0.4, for_s = 5, how = "all"', 'x = 0.6, for_s = 5, how = "orders"',
            'x = 0.6, for_s = 5, how = "grants"'),
    *faults("clock_step", 'share = 0.5, x = 4000, for_s = 5, how = "back"', 'share = 0.5, x = 4000, for_s = 5, how = "ahead"'),
    *faults("hup", "share = 0.5, gap_s = 2"),
]

LOSS = 'kind = "node_kill", on = "core", count = 1, for_s = 2.5, how = "leader"'


def day(disruption: Disruption, form: str) -> str:
    """The day's text. Forms: twice (alone, at two moments), paired (with the loss of the node that wrote last)."""
    lines = [disruption.line(FIRST_AT), disruption.line(SECOND_AT)]
    losses = [f"{{ {LOSS}, at = {at + LOSS_DELAY} }}" for at in (FIRST_AT, SECOND_AT)] if form == "paired" else []
    plan = ", ".join(lines) if disruption.planned else ""
    fault = ", ".join(losses if disruption.planned else lines + losses)
    return (f'[[day]]\nname = "{disruption.kind}"\nslot = "trouble"\nseed = {DAY_SEED}\nzero = 0.0\none = 1.0\n'
            f"goal = {{ floor = 0.05 }}\nplan = [ {plan} ]\nfaults = [ {fault} ]\n")


@dataclasses.dataclass
class Result:
    disruption: Disruption
    form: str
    row: str


def play(options: argparse.Namespace, tree: str, disruption: Disruption, form: str) -> Result:
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "day.toml")
        report = pathlib.Path(folder, "report.json")
        file.write_text(day(disruption, form))
        why = f"{options.why}: {disruption.name()}, {form}"
        command = [options.bench, "run", options.site, str(file), "--report", str(report), "--why", why]
        ended = subprocess.run(command, cwd=tree, capture_output=True, text=True, check=False)
        if not report.exists():
            return Result(disruption, form, f"not played: {(ended.stdout + ended.stderr).strip()[-200:]}")
        return Result(disruption, form, summary(json.loads(report.read_text())))


def summary(report: dict) -> str:
    broken = ", ".join(f"{rule} {count}" for rule, count in report["breaks"].items()) or "none"
    if report["fault"]:
        broken += f"; fault: {report['fault']}"
    worst = min(report["windows"], key=lambda window: window["worth"])
    return (f"{broken} | {report['G']:.3f} | {report['served']:.3f} | {report['refused']:.3f} | {report['failed']:.3f}"
            f" | {worst['worth']:.2f} at {worst['name']}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--trees", nargs="+", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--only", default="", help="kinds whose line holds this word")
    parser.add_argument("--form", choices=["twice", "paired"], action="append")
    options = parser.parse_args()
    work: queue.SimpleQueue = queue.SimpleQueue()
    for disruption in DISRUPTIONS:
        for form in options.form or ["twice", "paired"]:
            if options.only in disruption.name():
                work.put((disruption, form))
    print("| kind | form | broken | worth | served | refused | failed | worst two seconds |\n|---|---|---|---|---|---|---|---|",
          flush=True)

    def worker(tree: str) -> None:
        while not work.empty():
            try:
                disruption, form = work.get_nowait()
            except queue.Empty:
                return
            result = play(options, tree, disruption, form)
            print(f"| {disruption.name()} | {result.form} | {result.row} |", flush=True)

    threads = [threading.Thread(target=worker, args=(tree,)) for tree in options.trees]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
