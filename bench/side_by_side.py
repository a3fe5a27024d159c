"""Compares small requests on kept connections between two checkouts.

`python -m bench.side_by_side OTHER` measures this checkout and the one in the
directory OTHER at the same time, with `bench.kept_connections` of each and the
same interpreter: in turns, other work on the machine changed the rate threefold
from run to run. It prints each run, the median of each checkout, and the median
and extremes of the ratios within a round.
"""

import argparse
import concurrent.futures
import os
import pathlib
import re
import statistics
import subprocess
import sys
from typing import Final, NamedTuple

OWN: Final = pathlib.Path(__file__).resolve().parent.parent

_FIGURES: Final = re.compile(
    r"([0-9.]+) requests/s, median ([0-9.]+) ms, p99 ([0-9.]+) ms"
)


class Figures(NamedTuple):
    """What one run measured.

    Attributes:
        per_s: Answers per second.
        median_ms: Median time until an answer.
        p99_ms: 99th percentile of it.
    """

    per_s: float
    median_ms: float
    p99_ms: float


def measure(checkout: pathlib.Path, callers: int, seconds: float) -> Figures:
    """Runs `bench.kept_connections` of a checkout.

    Raises:
        CalledProcessError: The run failed or dropped a request.
        ValueError: The output has no figures.
    """
    env = os.environ | {
        "PYTHONPATH": os.pathsep.join((str(checkout / "src"), str(checkout)))
    }
    # An idle time longer than any pause: all callers keep their connections.
    command = ["-m", "bench.kept_connections", "--idle", "15"]
    command += ["--callers", str(callers), "--seconds", str(seconds)]
    output = subprocess.run(
        [sys.executable, *command],
        cwd=checkout,
        env=env,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    match = _FIGURES.search(output)
    if match is None:
        raise ValueError(f"no figures in the output: {output!r}")
    return Figures(*(float(value) for value in match.groups()))


def _summarise(runs: list[Figures]) -> Figures:
    return Figures(
        *(statistics.median(column) for column in zip(*runs, strict=True))
    )


def _print(name: str, figures: Figures) -> None:
    print(
        f"{name:8} {figures.per_s:8.1f} requests/s,"
        f" median {figures.median_ms:6.2f} ms, p99 {figures.p99_ms:6.2f} ms",
        flush=True,
    )


def _print_ratios(name: str, ratios: list[float]) -> None:
    print(
        f"own / other: {name} {statistics.median(ratios):.3f}"
        f" ({min(ratios):.3f} to {max(ratios):.3f})"
    )


def main() -> None:
    """Measures both checkouts at the same time and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("other", type=pathlib.Path)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--callers", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=4.0)
    args = parser.parse_args()
    checkouts = {"other": args.other.resolve(), "own": OWN}
    runs: dict[str, list[Figures]] = {name: [] for name in checkouts}
    with concurrent.futures.ThreadPoolExecutor(len(checkouts)) as pool:
        for _ in range(args.rounds):
            results = pool.map(
                lambda path: measure(path, args.callers, args.seconds),
                checkouts.values(),
            )
            for name, figures in zip(checkouts, results, strict=True):
                runs[name].append(figures)
                _print(name, figures)
    print("medians")
    for name, rows in runs.items():
        _print(name, _summarise(rows))
    pairs = list(zip(runs["own"], runs["other"], strict=True))
    _print_ratios("rate", [own.per_s / other.per_s for own, other in pairs])
    _print_ratios("p99", [own.p99_ms / other.p99_ms for own, other in pairs])


if __name__ == "__main__":
    main()
