"""`make demo`: runs a fleet on loopback under load and checks the results.

The load is a mix of completions and non-repeatable service calls. While it
runs, a second release note is published and one agent is drained. Exit code 0
means that every completion matched its expected tokens, that every
non-repeatable call ran exactly once, that no engine still holds memory, and
that the second release note took effect on every engine in time.
"""

import asyncio
import collections
import random
import signal
import sys
import time
from collections.abc import Sequence
from types import FrameType
from typing import Any, Final, NamedTuple

import msgspec
import xxhash

from apricottrestle import messages
from apricottrestle_standins import client, fleet, load, notes

DATA_CENTRES: Final = ("savannah", "promenade", "maraval")
_ENGINES_PER_DATA_CENTRE: Final = 2
_KV_BLOCKS: Final = 4096
_BLOCK_TOKENS: Final = 16
_PREFILL_TOKENS_PER_S: Final = 200_000.0
_DECODE_TOKENS_PER_S: Final = 60.0
_GROUP_PROMPT_TOKENS: Final = 140_000
"""Over twice the KV memory of one engine, which is 65,536 tokens."""

_RATE_PER_S: Final = 12.0
_PROMPT_LENGTHS: Final = "1000:50,2000:30,4000:15,30000:5"
_PROMPT_COUNT: Final = 180
_MAX_TOKENS: Final = 40
_CALL_COUNT: Final = 24
_SEED: Final = 7
_SECOND_NOTE_AT_S: Final = 3.0
_DRAIN_AT_S: Final = 5.0
_MAX_ROLLOUT_S: Final = 5.0
_MAX_RETRIES: Final = 10
_SETTLE_TIMEOUT_S: Final = 20.0
_DRAINED_AGENT: Final = "agent-savannah-0"


class CallResult(NamedTuple):
    """A service call: digest of its body, and the outcome that was returned."""

    digest: str
    outcome: str


def start_fleet(local_fleet: fleet.Fleet) -> int:
    """Starts stand-ins, agents and entries, and waits until all are ready.

    Returns:
        The revision of the first release note.
    """
    local_fleet.start_platform()
    for data_centre in DATA_CENTRES:
        for index in range(_ENGINES_PER_DATA_CENTRE):
            local_fleet.start_standin(
                f"engine-{data_centre}-{index}",
                "engine",
                kv_blocks=_KV_BLOCKS,
                block_tokens=_BLOCK_TOKENS,
                prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
                decode_tokens_per_s=_DECODE_TOKENS_PER_S,
            )
        local_fleet.start_standin(f"service-{data_centre}", "service")
    local_fleet.wait_standins()
    revision = local_fleet.publish_note(notes.first_note())
    print(f"release note 'first' accepted at offset {revision}")
    for data_centre in DATA_CENTRES:
        for index in range(_ENGINES_PER_DATA_CENTRE):
            local_fleet.start_agent(
                f"agent-{data_centre}-{index}",
                data_centre,
                f"engine-{data_centre}-{index}",
                prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
                slots=16,
            )
        local_fleet.start_agent(
            f"agent-{data_centre}-service",
            data_centre,
            f"service-{data_centre}",
            service=notes.SERVICE,
        )
    for data_centre in DATA_CENTRES[:2]:
        local_fleet.start_entry(f"entry-{data_centre}", data_centre)
    local_fleet.wait_ready()
    wait_engines(local_fleet, "v1")
    return revision


def engine_names(local_fleet: fleet.Fleet) -> list[str]:
    """Returns the names of the engine stand-ins."""
    return [name for name in local_fleet.nodes if name.startswith("engine-")]


def count_engines_with(local_fleet: fleet.Fleet, version: str) -> int:
    """Returns how many engines have a version of the model loaded."""
    configs = [
        fleet.call("GET", local_fleet.nodes[name].url + "/config").json()
        for name in engine_names(local_fleet)
    ]
    return sum(
        config["model"] == notes.MODEL and version in config["versions"]
        for config in configs
    )


def wait_engines(local_fleet: fleet.Fleet, version: str) -> None:
    """Waits until every engine has a version of the model loaded."""
    count = len(engine_names(local_fleet))
    fleet.wait_for(
        lambda: count_engines_with(local_fleet, version) == count,
        f"engines serve {version}",
    )


def make_prompts(rng: random.Random) -> list[client.Prompt]:
    """Returns prompts of each priority, some too large for a single engine."""
    lengths = load.parse_choices(_PROMPT_LENGTHS)
    prompts = [
        load.make_prompt(
            rng,
            int(load.pick(rng, lengths)),
            model=notes.MODEL,
            priority=messages.PRIORITIES[index % len(messages.PRIORITIES)],
            max_tokens=_MAX_TOKENS,
        )
        for index in range(_PROMPT_COUNT)
    ]
    for index, priority in enumerate(messages.PRIORITIES):
        prompt = load.make_prompt(
            rng,
            _GROUP_PROMPT_TOKENS,
            model=notes.MODEL,
            priority=priority,
            max_tokens=_MAX_TOKENS,
        )
        prompts.insert((index + 1) * _PROMPT_COUNT // 4, prompt)
    return prompts


async def send_calls(caller: client.Caller) -> list[CallResult]:
    """Makes non-repeatable calls, each with an idempotency key of its own."""
    rows = []
    for number in range(_CALL_COUNT):
        body = msgspec.json.encode({"entry": number, "litres": number * 11})
        outcome = await call_non_repeatable(caller, body)
        rows.append(CallResult(xxhash.xxh3_64_hexdigest(body), outcome))
        await asyncio.sleep(_PROMPT_COUNT / _RATE_PER_S / _CALL_COUNT)
    return rows


async def call_non_repeatable(caller: client.Caller, body: bytes) -> str:
    """Makes a call with an issued idempotency key; returns its outcome.

    A call that is known not to have run is retried with a new key.
    """
    path = f"/v1/services/{notes.SERVICE}{notes.NON_REPEATABLE_PATH}"
    outcome = "not_run"
    for _ in range(_MAX_RETRIES):
        key = await issue_key(caller)
        headers = {"Idempotency-Key": key} if key else {}
        response = await caller.call("POST", path, body, headers=headers)
        outcome = call_outcome(response.code, response.body)
        if outcome != "not_run":
            break
        await asyncio.sleep(0.5)
    return outcome


async def issue_key(caller: client.Caller) -> str:
    """Returns a newly issued idempotency key, or "" if the request failed."""
    response = await caller.call(
        "POST",
        "/v1/idempotency-keys",
        msgspec.json.encode({"service": notes.SERVICE}),
    )
    if response.code != 200:
        return ""
    return str(msgspec.json.decode(response.body)["idempotency_key"])


def call_outcome(status: int, body: bytes) -> str:
    """Returns "completed", or the outcome in the body of an error."""
    if status == 200:
        return "completed"
    try:
        error: dict[str, Any] = msgspec.json.decode(body)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return "unknown"
    return str(error.get("outcome", "unknown"))


async def run_operator(local_fleet: fleet.Fleet, revision: int) -> float:
    """Publishes the second release note and drains an agent during the load.

    Returns:
        The seconds from the acceptance of the release note until it was in
        force on every engine.
    """
    await asyncio.sleep(_SECOND_NOTE_AT_S)
    offset = await asyncio.to_thread(
        local_fleet.publish_note, notes.second_note(revision)
    )
    accepted_s = time.monotonic()
    print(f"release note 'second' accepted at offset {offset}")
    await asyncio.to_thread(wait_engines, local_fleet, "v2")
    rollout_s = time.monotonic() - accepted_s
    await asyncio.sleep(_DRAIN_AT_S - _SECOND_NOTE_AT_S)
    log = local_fleet.nodes["log"].url
    await asyncio.to_thread(
        local_fleet.run_command, "drain", _DRAINED_AGENT, "--log", log
    )
    print(f"drain of {_DRAINED_AGENT} recorded")
    return rollout_s


async def run_load(
    local_fleet: fleet.Fleet, revision: int
) -> tuple[list[client.CompletionResult], list[CallResult], float]:
    """Sends the load while the operator's commands run."""
    entries = [
        local_fleet.nodes[f"entry-{name}"].url for name in DATA_CENTRES[:2]
    ]
    caller = client.Caller(entries, notes.KEYS["harvest"])
    prompts = make_prompts(random.Random(_SEED))
    print(f"sending {len(prompts)} prompts and {_CALL_COUNT} calls")
    try:
        return await asyncio.gather(
            load.run(caller, prompts, _RATE_PER_S, _SEED, _MAX_RETRIES),
            send_calls(caller),
            run_operator(local_fleet, revision),
        )
    finally:
        caller.close()


def check_completions(results: Sequence[client.CompletionResult]) -> list[str]:
    """Returns a line for each completion that was not "ok"."""
    return [
        f"prompt of {result.prompt_tokens} ({result.priority}): "
        f"{result.outcome} {result.code} {result.detail}"
        for result in results
        if result.outcome != "ok"
    ]


def check_calls(
    local_fleet: fleet.Fleet, rows: Sequence[CallResult]
) -> list[str]:
    """Compares the returned outcomes with the services' ledgers."""
    run_counts: collections.Counter[str] = collections.Counter()
    for data_centre in DATA_CENTRES:
        for call in local_fleet.ledger(f"service-{data_centre}"):
            run_counts[call["body_digest"]] += 1
    problems = []
    for row in rows:
        expected = {"completed": 1, "not_run": 0}.get(row.outcome)
        if run_counts[row.digest] != expected:
            problems.append(
                f"call {row.digest}: returned outcome {row.outcome}, "
                f"ran {run_counts[row.digest]} times"
            )
        elif row.outcome != "completed":
            problems.append(f"call {row.digest}: {row.outcome}")
    return problems


def check_engines(local_fleet: fleet.Fleet) -> list[str]:
    """Returns a line for each engine with KV blocks still allocated."""
    return [
        f"{name} still has {used} blocks allocated"
        for name in engine_names(local_fleet)
        if (used := local_fleet.ledger(name)["blocks_used"])
    ]


def check_drain(local_fleet: fleet.Fleet) -> list[str]:
    """Checks that the drained agent exited by itself with code 0."""
    process = local_fleet.nodes[_DRAINED_AGENT].process
    try:
        code = process.wait(_SETTLE_TIMEOUT_S)
    except fleet.FleetError as exc:
        return [str(exc)]
    return [f"{_DRAINED_AGENT} exited with code {code}"] if code else []


def report(
    results: Sequence[client.CompletionResult],
    rows: Sequence[CallResult],
    rollout_s: float,
    problems: Sequence[str],
) -> None:
    """Prints the results and the problems that were found."""
    print(load.format_table(results))
    retries = sum(result.refusals for result in results)
    print(f"retries after a refusal: {retries}")
    outcomes = collections.Counter(row.outcome for row in rows)
    print(f"outcomes of non-repeatable calls: {dict(outcomes)}")
    print(f"second release note in force after {rollout_s:.2f} s")
    for problem in problems:
        print(f"PROBLEM {problem}")
    print("ledger check: " + ("failed" if problems else "passed"))


def run_demo() -> int:
    """Runs the demo; returns the exit code."""
    started_s = time.monotonic()
    with fleet.Fleet(DATA_CENTRES) as local_fleet:
        revision = start_fleet(local_fleet)
        ready_s = time.monotonic() - started_s
        print(f"{len(local_fleet.nodes)} processes ready after {ready_s:.1f} s")
        results, rows, rollout_s = asyncio.run(run_load(local_fleet, revision))
        problems = check_completions(results) + check_calls(local_fleet, rows)
        problems += check_drain(local_fleet)
        try:
            fleet.wait_for(
                lambda: not check_engines(local_fleet),
                "memory is free",
                _SETTLE_TIMEOUT_S,
            )
        except fleet.FleetError:
            problems += check_engines(local_fleet)
        if rollout_s > _MAX_ROLLOUT_S:
            problems.append(
                f"second release note in force after {rollout_s:.1f} s only"
            )
        report(results, rows, rollout_s, problems)
    print(f"demo finished after {time.monotonic() - started_s:.1f} s")
    return 1 if problems else 0


def _raise_exit(signum: int, frame: FrameType | None) -> None:
    del frame
    raise SystemExit(128 + signum)


def main() -> int:
    """Runs the demo; SIGTERM and SIGINT stop it and its processes."""
    signal.signal(signal.SIGTERM, _raise_exit)
    # A shell starts background commands with SIGINT ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        return run_demo()
    except fleet.FleetError as exc:
        print(f"demo failed: {exc}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
