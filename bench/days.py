"""Small days of the fleet's bench on many seeds, as a table.

    python -m bench.days roll split join --seeds 1-10 --jobs 4 --keep FOLDER

Runs the bench's rough days (`--rough KIND+mass`), some side by side, and prints a row a day. A day is bad
if a rule breaks, something crashes, the gate fails or a request is lost. Reports and logs stay in `--keep`,
which must lie outside the repository; the bench writes its journal itself.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

_KIT = Path("../given/kit/more")
_MOST_S = 1_500.0  # a day ends within 25 minutes of real time


@dataclass(frozen=True)
class Day:
    kind: str
    seed: int
    report: dict[str, Any] | None  # None: the bench ended without one

    @property
    def row(self) -> dict[str, Any]:
        return self.report["row"] if self.report is not None else {}

    @property
    def wrong(self) -> list[str]:
        """What makes it a bad day, in words."""
        if self.report is None:
            return ["no report"]
        found = [
            f"{name} {broke['count']}: {broke['first']}" for name, broke in self.report["breaks"].items()
        ]
        if self.report["fault"]:
            found.append(str(self.report["fault"]))
        if self.row["gate"] and not found:
            found.append(f"gate: {self.row['gate']}")
        if self.row["served"] < self.row["served_least"]:
            found.append("gate: served too little")
        return found

    def cells(self) -> str:
        if self.report is None:
            return f"| {self.kind} | {self.seed} | | | | | | **no report** |"
        row, lost = self.row, self.row["rules"].get("lost", 0)
        refused = 100.0 * row["signature"]["refused_share"]
        served = f"{row['served']:.3f} ({row['served_least']:.3f})"
        bad = "**bad**" if self.wrong else ""
        return (
            f"| {self.kind} | {self.seed} | {row['score']:.2f} | {served} | {lost} | {refused:.1f} | {bad} "
            f"| {'; '.join(self.wrong)} |"
        )


def _seeds(text: str) -> list[int]:
    found: list[int] = []
    for part in text.split(","):
        first, dash, last = part.partition("-")
        found += range(int(first), int(last if dash else first) + 1)
    return found


def _play(site: str, kind: str, seed: int, nodes: int, keep: Path, why: str) -> Day:
    name = f"{kind}-{seed}"
    report = keep / f"{name}.json"
    report.unlink(missing_ok=True)
    command = [
        str(_KIT / "mass/bin/lbreal"), site, "--rough", f"{kind}+mass", "--seed", str(seed),
        "--nodes", str(nodes), "--json", str(report), "--logs", str(keep / name), "--why", why,
    ]  # fmt: skip
    with (keep / f"{name}.txt").open("wb") as out:
        subprocess.run(command, stdout=out, stderr=subprocess.STDOUT, timeout=_MOST_S, check=False)
    return Day(kind, seed, json.loads(report.read_bytes()) if report.exists() else None)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("kinds", nargs="+")
    parser.add_argument("--seeds", type=_seeds, default=_seeds("1-10"))
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--site", default=str(_KIT / "node/sites/lagos-briefings.toml"))
    parser.add_argument("--keep", type=Path, required=True)
    parser.add_argument("--why", default="Small days of restarts and cuts on many seeds.")
    given = parser.parse_args()
    given.keep.mkdir(parents=True, exist_ok=True)
    with ThreadPoolExecutor(given.jobs) as pool:
        plays = [
            pool.submit(_play, given.site, kind, seed, given.nodes, given.keep, given.why)
            for kind in given.kinds
            for seed in given.seeds
        ]
        days = [play.result() for play in plays]
    print("| day | seed | score | served (gate) | lost | refused % | | what |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for day in days:
        print(day.cells())
    bad = sum(bool(day.wrong) for day in days)
    print(f"\n{len(days)} days, {bad} bad", file=sys.stderr)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
