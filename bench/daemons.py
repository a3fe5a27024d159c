"""Measures memory and processor time of the daemons, idle and under load.

`python -m bench.daemons` starts stand-ins, entries and agents on loopback and
reads /proc for each daemon; it prints the results and writes them to
bench/results/daemons.json.
"""

import asyncio
import json
import os
import pathlib
import random
import sys
import time
from typing import Final, NamedTuple

from apricottrestle_standins import client, fleet, load, notes

RESULTS: Final = pathlib.Path(__file__).parent / "results" / "daemons.json"

_DATA_CENTRE: Final = "savannah"
_WINDOW_S: Final = 16.0
_WARM_UP_S: Final = 3.0
_CLOCK_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
_PREFILL_TOKENS_PER_S: Final = 400_000
_DECODE_TOKENS_PER_S: Final = 25
_PROMPT_TOKENS: Final = 1_000
_MAX_TOKENS: Final = 64
_SEED: Final = 5


class Usage(NamedTuple):
    """Resource usage of one process over the measured window.

    Attributes:
        cpu_share: Processor time divided by wall time (1.0 is one core).
        resident_mb: Resident memory at the end of the window, in MB.
    """

    cpu_share: float
    resident_mb: float


class Measurement(NamedTuple):
    """Results of one case.

    Attributes:
        case: "idle" or "loaded".
        agents: Number of agents.
        entries: Number of entries.
        requests_per_s: Requests sent.
        tokens_per_s: Tokens received by the callers.
        entry: Usage of the first entry.
        agent: Usage of the first agent.
    """

    case: str
    agents: int
    entries: int
    requests_per_s: float
    tokens_per_s: float
    entry: Usage
    agent: Usage


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS_PER_S


def _resident_mb(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f"no VmRSS for process {pid}")


def _start_fleet(deployment: fleet.Fleet, agents: int, entries: int) -> None:
    deployment.start_platform()
    for index in range(agents):
        deployment.start_standin(
            f"engine-{index}",
            "engine",
            kv_blocks=64_000,
            prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
            decode_tokens_per_s=_DECODE_TOKENS_PER_S,
        )
    deployment.wait_standins()
    deployment.publish_note(notes.first_note())
    for index in range(agents):
        deployment.start_agent(
            f"agent-{index}",
            _DATA_CENTRE,
            f"engine-{index}",
            prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
            slots=64,
        )
    for index in range(entries):
        deployment.start_entry(f"entry-{index}", _DATA_CENTRE)
    deployment.wait_ready()


async def _send_load(deployment: fleet.Fleet, rate: float) -> int:
    """Sends requests during the window; returns the tokens received."""
    rng = random.Random(_SEED)
    prompts = [
        load.make_prompt(
            rng,
            _PROMPT_TOKENS,
            model=notes.MODEL,
            priority="standard",
            max_tokens=_MAX_TOKENS,
        )
        for _ in range(int(rate * _WINDOW_S))
    ]
    caller = client.Caller(
        [deployment.nodes["entry-0"].url], notes.KEYS["harvest"]
    )
    try:
        answers = await load.run(caller, prompts, rate, _SEED)
    finally:
        caller.close()
    unexpected = [
        result for result in answers if result.outcome not in ("ok", "refused")
    ]
    if unexpected:
        raise RuntimeError(
            f"{len(unexpected)} requests failed; first error:"
            f" {unexpected[0].detail}"
        )
    return sum(len(answer.tokens) for answer in answers)


def _measure_case(agents: int, entries: int, rate: float) -> Measurement:
    with fleet.Fleet([_DATA_CENTRE]) as deployment:
        _start_fleet(deployment, agents, entries)
        time.sleep(_WARM_UP_S)
        pids = [
            deployment.nodes[name].process.pid
            for name in ("entry-0", "agent-0")
        ]
        cpu_before_s = [_cpu_s(pid) for pid in pids]
        start = time.monotonic()
        tokens = 0
        if rate:
            tokens = asyncio.run(_send_load(deployment, rate))
        else:
            time.sleep(_WINDOW_S)
        elapsed_s = time.monotonic() - start
        usages = [
            Usage((_cpu_s(pid) - cpu_s) / elapsed_s, _resident_mb(pid))
            for pid, cpu_s in zip(pids, cpu_before_s, strict=True)
        ]
    case = "loaded" if rate else "idle"
    return Measurement(
        case,
        agents,
        entries,
        rate * _WINDOW_S / elapsed_s,
        tokens / elapsed_s,
        usages[0],
        usages[1],
    )


def _format_usage(usage: Usage) -> str:
    return f"{usage.cpu_share:6.2%} {usage.resident_mb:5.1f} MB"


MEASURED_CASES: Final = (
    (2, 1, 0.0),
    (8, 1, 0.0),
    (24, 1, 0.0),
    (1, 4, 0.0),
    (1, 12, 0.0),
    (4, 1, 5.0),
    (4, 1, 15.0),
    (4, 1, 45.0),
)
"""Agents, entries and requests per second of each case; 0 is idle."""


def main() -> int:
    """Measures all cases, prints them and writes the results file."""
    rows = []
    for case in MEASURED_CASES:
        row = _measure_case(*case)
        print(
            f"{row.case:<6} agents {row.agents:>2} entries {row.entries:>2}"
            f" {row.requests_per_s:5.1f} requests/s"
            f" {row.tokens_per_s:6.0f} tokens/s:"
            f" entry {_format_usage(row.entry)}"
            f" agent {_format_usage(row.agent)}",
            flush=True,
        )
        rows.append(
            row._asdict()
            | {"entry": row.entry._asdict(), "agent": row.agent._asdict()}
        )
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(rows, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
