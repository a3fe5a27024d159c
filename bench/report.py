"""Formats the results of the policy benchmark as tables and a plot."""

import pathlib
from collections.abc import Sequence
from typing import Any, Final

from bench import routing_cost

PLOT_POLICIES: Final = (
    "random",
    "round robin",
    "least outstanding",
    "fifo queue",
    "shipped",
)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}" if value < 10 else f"{value:.1f}"
    return str(value)


def table(title: str, header: Sequence[str], rows: list[list[Any]]) -> str:
    """Returns a Markdown table."""
    lines = [f"### {title}", "", "| " + " | ".join(header) + " |"]
    lines.append("|" + "---|" * len(header))
    for row in rows:
        lines.append(
            "| " + " | ".join(_format_cell(value) for value in row) + " |"
        )
    return "\n".join([*lines, ""])


def tables(
    rows: list[dict[str, Any]], costs: list[routing_cost.DecisionCost]
) -> str:
    """Returns all tables of a benchmark run as Markdown."""
    steady_runs = [r for r in rows if r["name"].startswith("load")]
    fault_and_flood_runs = [r for r in rows if not r["name"].startswith("load")]
    sections = [_steady(steady_runs), _lengths(steady_runs)]
    if fault_and_flood_runs:
        sections += [
            _classes(fault_and_flood_runs),
            _throughput(fault_and_flood_runs),
        ]
    sections.append(
        table(
            "Cost of a decision, median microseconds on this machine",
            ("upstreams", "routing", "admission"),
            [list(cost) for cost in costs],
        )
    )
    return "\n".join(sections)


def _run_columns(row: dict[str, Any]) -> list[Any]:
    return [row["fleet"], row["name"], row["policy"]]


def _steady(rows: list[dict[str, Any]]) -> str:
    body = []
    for row in rows:
        short, first = row["lengths"]["1k-4k"], row["lengths"]["up to 8k"]
        body.append(
            [
                *_run_columns(row),
                *short["first_slowdown"],
                short["whole_slowdown"][1],
                first["first_s"][1],
                first["token_gap_s"][1],
                1 - first["ok"],
                row["prefilled per prompt token"],
            ]
        )
    header = (
        "fleet",
        "run",
        "policy",
        "first-token slowdown to 4k p50",
        "p95",
        "p99",
        "whole slowdown to 4k p95",
        "first token to 8k p95 s",
        "token gap to 8k p95 s",
        "not served to 8k",
        "prefilled per prompt token",
    )
    return table("Steady load: short requests", header, body)


def _lengths(rows: list[dict[str, Any]]) -> str:
    body = []
    for row in rows:
        cells: list[Any] = []
        for name, group in row["lengths"].items():
            if name != "up to 8k":
                p50, p95, p99 = (_format_cell(v) for v in group["first_s"])
                cells.append(f"{p50} / {p95} / {p99}")
        long = row["lengths"]["100k-490k"]
        group = row["lengths"]["over 490k"]
        body.append(
            [*_run_columns(row), *cells, 1 - long["ok"], 1 - group["ok"]]
        )
    header = ["fleet", "run", "policy"]
    header += [n for n in rows[0]["lengths"] if n != "up to 8k"]
    header += ["not served 100k-490k", "not served over 490k"]
    return table("First token by length, p50 / p95 / p99 s", header, body)


def _classes(rows: list[dict[str, Any]]) -> str:
    body = []
    for row in rows:
        cells: list[Any] = []
        for group in row["classes"]:
            p50, p95, p99 = (_format_cell(v) for v in group["first_s"])
            cells.append(f"{p50} / {p95} / {p99}")
            cells.append(group["ok"])
        body.append(
            [
                *_run_columns(row),
                *cells,
                row["urgent up to 8k"]["first_s"][1],
                row["small teams"]["first_s"][1],
                row["small teams up to 8k"]["first_s"][1],
                row["small teams"]["ok"],
            ]
        )
    header = ["fleet", "run", "policy"]
    for name in ("urgent", "standard", "batch"):
        header += [f"{name} p50 / p95 / p99 s", "served"]
    header += [
        "urgent to 8k p95 s",
        "small teams p95 s",
        "small teams to 8k p95 s",
        "small teams served",
    ]
    return table("First token of requests outside the flood", header, body)


def _throughput(rows: list[dict[str, Any]]) -> str:
    body = [
        [
            *_run_columns(row),
            row["goodput requests/s"],
            row["goodput prompt tokens/s"],
            row["goodput output tokens/s"],
            " / ".join(_format_cell(v) for v in row["token shares by class"]),
            row["refused"],
            row["late"],
            row["failed"],
            row["attempts per request"],
        ]
        for row in rows
    ]
    header = (
        "fleet",
        "run",
        "policy",
        "requests/s",
        "prompt tokens/s",
        "output tokens/s",
        "token share urgent / standard / batch",
        "refused early",
        "late",
        "failed",
        "attempts",
    )
    return table("Goodput per engine", header, body)


def plot(rows: list[dict[str, Any]], path: pathlib.Path) -> None:
    """Plots first-token times by prompt length for fleet A at 80% load."""
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for row in rows:
        is_plotted = row["fleet"] == "A" and row["name"] == "load 0.8"
        if not is_plotted or row["policy"] not in PLOT_POLICIES:
            continue
        names = [n for n in row["lengths"] if n != "up to 8k"]
        values = [row["lengths"][n]["first_s"][1] for n in names]
        axes.plot(
            names,
            [float("nan") if v is None else v for v in values],
            marker="o",
            label=row["policy"],
        )
    axes.set_yscale("log")
    axes.set_xlabel("prompt tokens")
    axes.set_ylabel("time to first token, p95, s")
    axes.set_title("Fleet A at 80% load")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100, metadata={"Software": None})
    pyplot.close(figure)
