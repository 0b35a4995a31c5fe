"""`make measure-work`: compares ordering policies for jobs on emulated days.

    make measure-work DAY=sahel SEEDS=20 SCALE=1

Runs the decision code of the hosts in an emulator, with the same seeds for each policy,
and writes a table and a plot to docs/measurements/. Results that the benchmark
of the whole system contradicts don't count: see docs/DEVELOPERS.md.
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

from scripts.work_day import draw_day, load_scenario  # noqa: E402
from scripts.work_emulator import Emulator  # noqa: E402

ORDERING_POLICIES = ("first-come", "priority", "credit")
# Credit lost per wasted core-second, as a share of a day's worth; set by the benchmark.
WASTE_PRICE_PER_CORE_S = 1.6e-5
PROCESS_COUNT = 3  # half of the cores of the build machine
MEASUREMENTS_FOLDER = Path(__file__).resolve().parent.parent / "docs" / "measurements"


def emulate_day(case):
    """Return the `DayResult` of a (scenario, seed, scale, policy) case."""
    name, seed, scale, policy = case
    return Emulator(draw_day(load_scenario(name), seed, scale), seed, policy).run()


def net_credit(result):
    """Return the credit of a `DayResult` less the price of its wasted core-seconds."""
    return result.credit - WASTE_PRICE_PER_CORE_S * result.wasted_core_s


def format_row(name, days):
    """Return a table row with the means of one policy's days."""
    values = [net_credit(day) for day in days]
    standard_error = stdev(values) / len(values) ** 0.5 if len(values) > 1 else 0.0
    kinds = sorted({kind for day in days for kind in day.credit_by_kind})
    by_kind = "; ".join(
        f"{kind} {mean(day.credit_by_kind.get(kind, 0.0) for day in days):.2f}"
        for kind in kinds
    )
    wasted_core_s = mean(day.wasted_core_s for day in days)
    plan_times_ms = sorted(ms for day in days for ms in day.plan_times_ms)
    cells = (
        name,
        f"{mean(values):.3f} +- {standard_error:.3f}",
        f"{mean(day.credit for day in days):.3f}",
        by_kind,
        f"{wasted_core_s:.0f}",
        f"{mean(day.unfinished for day in days):.1f}",
        f"{mean(sum(day.plan_times_ms) for day in days):.0f}",
        f"{plan_times_ms[int(0.99 * (len(plan_times_ms) - 1))]:.1f}",
    )
    return "| " + " | ".join(cells) + " |"


TABLE_HEADER = (
    "| policy | net +- error | credit | by kind | wasted core-s | unfinished "
    "| planning ms a day | p99 of a plan, ms |\n|---|---|---|---|---|---|---|---|"
)


def measure(day="sahel", seeds=20, scale=1.0):
    """Compare all ordering policies on SEEDS days of DAY, at SCALE times its size."""
    cases = [
        (day, seed, scale, policy)
        for policy in ORDERING_POLICIES
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(PROCESS_COUNT) as pool:
        progress = tqdm(
            pool.map(emulate_day, cases),
            total=len(cases),
            disable=not sys.stderr.isatty(),
        )
        results = list(progress)
    days_by_policy = {
        policy: results[index * seeds : (index + 1) * seeds]
        for index, policy in enumerate(ORDERING_POLICIES)
    }
    table = [
        TABLE_HEADER,
        *(format_row(policy, days) for policy, days in days_by_policy.items()),
    ]
    print("\n".join(table))
    name = f"work-{day}-x{scale:g}"
    title = f"Emulated days of {day}, {scale:g} times its size, seeds 1 to {seeds}"
    MEASUREMENTS_FOLDER.mkdir(parents=True, exist_ok=True)
    (MEASUREMENTS_FOLDER / f"{name}.md").write_text(
        "\n".join([f"# {title}", "", *table, ""])
    )
    _plot_net_credit(days_by_policy, title, MEASUREMENTS_FOLDER / f"{name}.png")


def _plot_net_credit(days_by_policy, title, path):
    figure, axis = plt.subplots(figsize=(6, 4))
    axis.boxplot(
        [[net_credit(day) for day in days] for days in days_by_policy.values()]
    )
    axis.set_xticks(range(1, len(days_by_policy) + 1), list(days_by_policy))
    axis.set_ylabel("credit less waste, share of the total worth")
    axis.set_title(title, fontsize=9)
    figure.tight_layout()
    figure.savefig(path, dpi=80)


if __name__ == "__main__":
    fire.Fire(measure, serialize=lambda value: None)
