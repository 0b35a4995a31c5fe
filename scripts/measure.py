"""`make measure`: simulates jobs and short requests with several seeds.

Writes tables, targets and a plot of the planners to docs/measurements/.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean, median

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
from tqdm import tqdm  # noqa: E402

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scripts.measure_jobs import WAVE_PEAK_MS, WAVE_PERIOD_MS, JobsSimulation  # noqa: E402
from scripts.measure_runners import HORIZON_MS, RunnersSimulation  # noqa: E402

SEEDS = (1, 2, 3, 4, 5)
PLANNERS = ("fifo", "fifo-skip", "strict-priority", "guarantee")
DEFAULT_PLANNER = "guarantee"
RUNNER_CASES = tuple(
    (routing, load, mixed)
    for routing in ("round-robin", "least-connections", "least-expected-time")
    for load, mixed in ((0.9, False), (0.9, True), (1.0, False), (2.0, False))
)
MEASUREMENTS_FOLDER = Path(__file__).resolve().parent.parent / "docs" / "measurements"


def percentile(values, share):
    """Return the value below which `share` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


def simulate_jobs(case):
    """Simulate jobs for a (planner, seed) case; return the figures by name."""
    planner, seed = case
    result = JobsSimulation(seed, planner).run()
    outcomes = result.outcomes
    peak_waits_ms = [
        outcome.wait_ms
        for outcome in outcomes
        if outcome.arrival.kind.urgency == "urgent"
        and outcome.arrival.at_ms % WAVE_PERIOD_MS < WAVE_PEAK_MS
    ]
    longest = max(outcomes, key=lambda outcome: outcome.arrival.work_ms)
    gang_waits_ms = [
        outcome.wait_ms
        for outcome in outcomes
        if outcome.arrival.kind.shape.members > 1
    ]
    return {
        "urgent p99 wait s": percentile(peak_waits_ms, 0.99) / 1_000,
        "mean completion s": mean(outcome.completion_ms for outcome in outcomes)
        / 1_000,
        "p95 completion s": percentile(
            [outcome.completion_ms for outcome in outcomes], 0.95
        )
        / 1_000,
        "worst completion s": max(outcome.completion_ms for outcome in outcomes)
        / 1_000,
        "longest job's completion s": longest.completion_ms / 1_000,
        "gang mean wait s": mean(gang_waits_ms) / 1_000
        if gang_waits_ms
        else float("nan"),
        "usable share of free": result.usable_share,
        "time short of guarantee": result.shortfall_share,
        "unfinished": result.unfinished,
    }


def simulate_runners(case):
    """Simulate requests for a (routing, load, mixed, seed) case; return its figures.

    `load` is a multiple of the capacity; `mixed` adds long requests to the short ones.
    """
    routing, load, mixed, seed = case
    entry_queueing = routing == "least-expected-time"
    result = RunnersSimulation(seed, routing, load, mixed, entry_queueing).run()
    short = [outcome for outcome in result.outcomes if outcome.kind == "short"]
    in_time_ms = [outcome.took_ms for outcome in short if outcome.in_time]
    return {
        "goodput a second": len(in_time_ms) / (HORIZON_MS / 1_000),
        "short p99 ms": percentile(in_time_ms, 0.99),
        "in time": len(in_time_ms) / max(1, len(short)),
        "avoidable queueing / arrival period": result.avoidable_queueing_share,
        "refused": result.refusals,
    }


def format_spread(rows, name):
    """Return 'min / median / max' of a figure over the seeds."""
    values = [row[name] for row in rows]
    return " / ".join(
        f"{value:.3g}" for value in (min(values), median(values), max(values))
    )


def render_table(title, groups):
    """Return a Markdown table of `groups`: lists of figures, one per seed, by name."""
    names = list(next(iter(groups.values()))[0])
    lines = [
        f"## {title}",
        "",
        "| figure (min / median / max) | " + " | ".join(groups) + " |",
    ]
    lines.append("|" + "---|" * (len(groups) + 1))
    for name in names:
        cells = [format_spread(rows, name) for rows in groups.values()]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join([*lines, ""])


def render_targets(jobs, runners):
    """Return a Markdown table of the users' targets: met on all seeds, or missed."""

    def ratios(name, baseline="fifo"):
        pairs = zip(jobs[DEFAULT_PLANNER], jobs[baseline], strict=True)
        return [
            row[name] / max(1e-9, baseline_row[name]) for row, baseline_row in pairs
        ]

    def figures(name):
        return [row[name] for row in jobs[DEFAULT_PLANNER]]

    default_routing = "least-expected-time"
    best_goodput = max(
        median(row["goodput a second"] for row in runners[routing, 1.0, False])
        for routing in {case[0] for case in runners}
    )
    goodput_ratios = [
        row["goodput a second"] / best_goodput
        for row in runners[default_routing, 2.0, False]
    ]
    unmixed, mixed = (
        runners[default_routing, 0.9, False],
        runners[default_routing, 0.9, True],
    )
    mixed_ratios = [
        with_long["short p99 ms"] / short_only["short p99 ms"]
        for with_long, short_only in zip(mixed, unmixed, strict=True)
    ]
    avoidable_queueing = [
        row["avoidable queueing / arrival period"]
        for case, rows in runners.items()
        if case[0] == default_routing
        for row in rows
    ]
    # Each: target, figures, bound, and 1 for an upper or -1 for a lower bound.
    checks = (
        (
            "urgent p99 wait at the peak, s: at most 6.1",
            figures("urgent p99 wait s"),
            6.1,
            1,
        ),
        ("urgent p99 wait / FIFO's: at most 0.1", ratios("urgent p99 wait s"), 0.1, 1),
        ("mean completion / FIFO's: at most 0.7", ratios("mean completion s"), 0.7, 1),
        ("p95 completion / FIFO's: at most 0.7", ratios("p95 completion s"), 0.7, 1),
        (
            "longest job's completion / FIFO's: at most 1.5",
            ratios("longest job's completion s"),
            1.5,
            1,
        ),
        (
            "worst completion / FIFO's: at most 1.5",
            ratios("worst completion s"),
            1.5,
            1,
        ),
        (
            "usable share of free: at least 0.95",
            figures("usable share of free"),
            0.95,
            -1,
        ),
        ("gang wait / FIFO's: at most 0.5", ratios("gang mean wait s"), 0.5, 1),
        ("time short of a guarantee: 0", figures("time short of guarantee"), 0.0, 1),
        ("goodput at 2x / best at 1x: at least 0.95", goodput_ratios, 0.95, -1),
        ("short p99 with long mixed in / without: at most 1.5", mixed_ratios, 1.5, 1),
        (
            "avoidable queueing / arrival period: 0",
            avoidable_queueing,
            0.0,
            1,
        ),
    )
    lines = [
        "## Targets",
        "",
        "| target | min / median / max | all seeds |",
        "|---|---|---|",
    ]
    for name, values, bound, sign in checks:
        met = all(sign * value <= sign * bound + 1e-9 for value in values)
        shown = " / ".join(
            f"{value:.3g}" for value in (min(values), median(values), max(values))
        )
        lines.append(f"| {name} | {shown} | {'met' if met else 'MISSED'} |")
    return "\n".join([*lines, ""])


def plot_planners(jobs):
    """Save box plots of the planners' main figures to planners.png."""
    names = (
        "urgent p99 wait s",
        "mean completion s",
        "p95 completion s",
        "gang mean wait s",
    )
    figure, axes = plt.subplots(1, len(names), figsize=(14, 4))
    for axis, name in zip(axes, names, strict=True):
        axis.boxplot([[row[name] for row in rows] for rows in jobs.values()])
        axis.set_xticks(range(1, len(jobs) + 1), list(jobs), rotation=45, ha="right")
        axis.set_title(name)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(MEASUREMENTS_FOLDER / "planners.png", dpi=80)


def main():
    """Run all simulations in parallel; write the tables and the plot."""
    job_cases = [(planner, seed) for planner in PLANNERS for seed in SEEDS]
    runner_cases = [(*case, seed) for case in RUNNER_CASES for seed in SEEDS]
    with ProcessPoolExecutor() as pool:
        total = len(job_cases) + len(runner_cases)
        with tqdm(total=total, disable=not sys.stderr.isatty()) as bar:
            futures = [pool.submit(simulate_jobs, case) for case in job_cases]
            futures += [pool.submit(simulate_runners, case) for case in runner_cases]
            for future in futures:
                future.add_done_callback(lambda _: bar.update())
            results = [future.result() for future in futures]
    jobs = {planner: results[i * 5 : i * 5 + 5] for i, planner in enumerate(PLANNERS)}
    runner_results = results[len(job_cases) :]
    runners = {
        case: runner_results[i * 5 : i * 5 + 5] for i, case in enumerate(RUNNER_CASES)
    }
    MEASUREMENTS_FOLDER.mkdir(parents=True, exist_ok=True)
    labelled_runners = {
        f"{routing} {load}x{' mixed' if mixed else ''}": rows
        for (routing, load, mixed), rows in runners.items()
    }
    text = "\n".join(
        [
            "# Measurements of the decisions",
            "",
            f"Made by `make measure`; seeds {', '.join(map(str, SEEDS))}; load 0.9.",
            "",
            render_targets(jobs, runners),
            render_table("Jobs on workers", jobs),
            render_table("Short work on runners", labelled_runners),
        ]
    )
    (MEASUREMENTS_FOLDER / "README.md").write_text(text)
    plot_planners(jobs)
    print(text)


if __name__ == "__main__":
    main()
