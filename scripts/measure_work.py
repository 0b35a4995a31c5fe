"""`make measure-work`: orders of work compared on emulated days, seed by seed.

    make measure-work DAY=sahel SEEDS=20 SCALE=1

Plays the decisions that the hosts run, without hosts; writes a table and a plot into
docs/measurements/. The bench has the last word: see docs/measurements/work.md.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean, stdev

import fire
import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
from tqdm import tqdm  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scripts.work_day import draw_day, scenario  # noqa: E402
from scripts.work_emulator import Emulator  # noqa: E402

ORDERS = ("first-come", "priority", "credit")
WASTE_PRICE = 1.6e-5  # of a day's worth, a core-second: sheets of the bench
PROCESSES_COUNT = 3  # half of the users' build machine
FOLDER = Path(__file__).resolve().parent.parent / "docs" / "measurements"


def play(case):
    """Play one day under one order; return `Played`."""
    name, seed, scale, order = case
    return Emulator(draw_day(scenario(name), seed, scale), seed, order).run()


def net(played):
    """Return the share of worth earned, less the price of what was thrown away."""
    return played.credit - WASTE_PRICE * played.wasted_core_s


def row(name, days):
    """Return a line of the table for one order."""
    values = [net(day) for day in days]
    error = stdev(values) / len(values) ** 0.5 if len(values) > 1 else 0.0
    kinds = sorted({kind for day in days for kind in day.by_kind})
    by_kind = "; ".join(
        f"{kind} {mean(day.by_kind.get(kind, 0.0) for day in days):.2f}"
        for kind in kinds
    )
    waste = mean(day.wasted_core_s for day in days)
    plans = sorted(ms for day in days for ms in day.plan_ms)
    cells = (
        name,
        f"{mean(values):.3f} +- {error:.3f}",
        f"{mean(day.credit for day in days):.3f}",
        by_kind,
        f"{waste:.0f}",
        f"{mean(day.unfinished for day in days):.1f}",
        f"{mean(sum(day.plan_ms) for day in days):.0f}",
        f"{plans[int(0.99 * (len(plans) - 1))]:.1f}",
    )
    return "| " + " | ".join(cells) + " |"


HEAD = (
    "| order | net +- error | credit | by kind | wasted core-s | unfinished "
    "| planning ms a day | p99 of a plan, ms |\n|---|---|---|---|---|---|---|---|"
)


def measure(day="sahel", seeds=20, scale=1.0):
    """Compare all orders on SEEDS days of a scenario, at SCALE times its size."""
    cases = [
        (day, seed, scale, order) for order in ORDERS for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(PROCESSES_COUNT) as pool:
        shown = tqdm(
            pool.map(play, cases), total=len(cases), disable=not sys.stderr.isatty()
        )
        played = list(shown)
    by_order = {
        order: played[index * seeds : (index + 1) * seeds]
        for index, order in enumerate(ORDERS)
    }
    lines = [HEAD, *(row(order, days) for order, days in by_order.items())]
    print("\n".join(lines))
    name = f"work-{day}-x{scale:g}"
    title = f"Emulated days of {day}, {scale:g} times its size, seeds 1 to {seeds}"
    FOLDER.mkdir(parents=True, exist_ok=True)
    (FOLDER / f"{name}.md").write_text("\n".join([f"# {title}", "", *lines, ""]))
    _plot(by_order, title, FOLDER / f"{name}.png")


def _plot(by_order, title, path):
    figure, axis = plt.subplots(figsize=(6, 4))
    axis.boxplot([[net(day) for day in days] for days in by_order.values()])
    axis.set_xticks(range(1, len(by_order) + 1), list(by_order))
    axis.set_ylabel("credit less waste, share of what is owed")
    axis.set_title(title, fontsize=9)
    figure.tight_layout()
    figure.savefig(path, dpi=80)


if __name__ == "__main__":
    fire.Fire(measure, serialize=lambda value: None)
