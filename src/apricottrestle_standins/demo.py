"""`make demo`: a fleet on loopback, a mixed load, a drain and two notes.

Exit code 0 means: every answer matched its prompt token by token, every call
that may run once ran once, the ledgers of the engines hold no memory, and the
second release note reached every engine.
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
_GROUP_TOKENS: Final = 140_000
"""Over twice the 65,536 tokens of one engine."""

_RATE_PER_S: Final = 12.0
_LENGTHS: Final = "1000:50,2000:30,4000:15,30000:5"
_PROMPTS: Final = 180
_MAX_TOKENS: Final = 40
_CALLS: Final = 24
_SEED: Final = 7
_NOTE_AFTER_S: Final = 3.0
_DRAIN_AFTER_S: Final = 5.0
_NOTE_IN_FORCE_S: Final = 5.0
_RETRIES: Final = 10
_SETTLE_S: Final = 20.0
_DRAINED: Final = "agent-savannah-0"


class CallRow(NamedTuple):
    """A call to the service: digest of its body, and what the caller heard."""

    digest: str
    outcome: str


def start_fleet(run: fleet.Fleet) -> int:
    """Starts stand-ins, agents and entries, and waits until all are ready.

    Returns:
        Revision of the first release note.
    """
    run.start_platform()
    for data_centre in DATA_CENTRES:
        for index in range(_ENGINES_PER_DATA_CENTRE):
            run.start_standin(
                f"engine-{data_centre}-{index}",
                "engine",
                kv_blocks=_KV_BLOCKS,
                block_tokens=_BLOCK_TOKENS,
                prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
                decode_tokens_per_s=_DECODE_TOKENS_PER_S,
            )
        run.start_standin(f"service-{data_centre}", "service")
    run.wait_standins()
    revision = run.publish_note(notes.first_note())
    print(f"release note 'first' accepted at offset {revision}")
    for data_centre in DATA_CENTRES:
        for index in range(_ENGINES_PER_DATA_CENTRE):
            run.start_agent(
                f"agent-{data_centre}-{index}",
                data_centre,
                f"engine-{data_centre}-{index}",
                prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
                slots=16,
            )
        run.start_agent(
            f"agent-{data_centre}-service",
            data_centre,
            f"service-{data_centre}",
            service=notes.SERVICE,
        )
    for data_centre in DATA_CENTRES[:2]:
        run.start_entry(f"entry-{data_centre}", data_centre)
    run.wait_ready()
    wait_engines(run, "v1")
    return revision


def engine_names(run: fleet.Fleet) -> list[str]:
    """Returns the names of the engine stand-ins."""
    return [name for name in run.nodes if name.startswith("engine-")]


def count_engines_with(run: fleet.Fleet, version: str) -> int:
    """Returns how many engines have a version of the model loaded."""
    configs = [
        fleet.call("GET", run.nodes[name].url + "/config").json()
        for name in engine_names(run)
    ]
    return sum(
        config["model"] == notes.MODEL and version in config["versions"]
        for config in configs
    )


def wait_engines(run: fleet.Fleet, version: str) -> None:
    """Waits until every engine has a version of the model loaded."""
    count = len(engine_names(run))
    fleet.wait_for(
        lambda: count_engines_with(run, version) == count,
        f"engines serve {version}",
    )


def make_prompts(rng: random.Random) -> list[client.Prompt]:
    """Returns short, long and group-sized prompts of each class."""
    lengths = load.parse_choices(_LENGTHS)
    prompts = [
        load.make_prompt(
            rng,
            int(load.pick(rng, lengths)),
            model=notes.MODEL,
            priority=messages.PRIORITIES[index % len(messages.PRIORITIES)],
            max_tokens=_MAX_TOKENS,
        )
        for index in range(_PROMPTS)
    ]
    for index, priority in enumerate(messages.PRIORITIES):
        prompt = load.make_prompt(
            rng,
            _GROUP_TOKENS,
            model=notes.MODEL,
            priority=priority,
            max_tokens=_MAX_TOKENS,
        )
        prompts.insert((index + 1) * _PROMPTS // 4, prompt)
    return prompts


async def send_calls(caller: client.Caller) -> list[CallRow]:
    """Makes calls that may run at most once, each under its own key."""
    rows = []
    for number in range(_CALLS):
        body = msgspec.json.encode({"entry": number, "litres": number * 11})
        outcome = await call_once(caller, body)
        rows.append(CallRow(xxhash.xxh3_64_hexdigest(body), outcome))
        await asyncio.sleep(_PROMPTS / _RATE_PER_S / _CALLS)
    return rows


async def call_once(caller: client.Caller, body: bytes) -> str:
    """Makes one call under an issued key; returns its outcome.

    A call that was proved not to have run is made again under a new key.
    """
    path = f"/v1/services/{notes.SERVICE}{notes.NON_REPEATABLE_PATH}"
    outcome = "not_run"
    for _ in range(_RETRIES):
        key = await issue_key(caller)
        headers = {"Idempotency-Key": key} if key else {}
        answer = await caller.call("POST", path, body, headers=headers)
        outcome = call_outcome(answer.code, answer.body)
        if outcome != "not_run":
            break
        await asyncio.sleep(0.5)
    return outcome


async def issue_key(caller: client.Caller) -> str:
    """Returns an issued idempotency key, or "" when none was issued."""
    answer = await caller.call(
        "POST",
        "/v1/idempotency-keys",
        msgspec.json.encode({"service": notes.SERVICE}),
    )
    if answer.code != 200:
        return ""
    return str(msgspec.json.decode(answer.body)["idempotency_key"])


def call_outcome(status: int, body: bytes) -> str:
    """Returns "completed", "not_run" or "unknown" of an answered call."""
    if status == 200:
        return "completed"
    try:
        error: dict[str, Any] = msgspec.json.decode(body)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return "unknown"
    return str(error.get("outcome", "unknown"))


async def operate(run: fleet.Fleet, revision: int) -> float:
    """Publishes the second note and drains one agent during the load.

    Returns:
        Seconds from the acceptance of the note to its last engine.
    """
    await asyncio.sleep(_NOTE_AFTER_S)
    offset = await asyncio.to_thread(
        run.publish_note, notes.second_note(revision)
    )
    accepted_s = time.monotonic()
    print(f"release note 'second' accepted at offset {offset}")
    await asyncio.to_thread(wait_engines, run, "v2")
    in_force_s = time.monotonic() - accepted_s
    await asyncio.sleep(_DRAIN_AFTER_S - _NOTE_AFTER_S)
    log = run.nodes["log"].url
    await asyncio.to_thread(run.run_command, "drain", _DRAINED, "--log", log)
    print(f"drain of {_DRAINED} recorded")
    return in_force_s


async def drive(
    run: fleet.Fleet, revision: int
) -> tuple[list[client.CompletionResult], list[CallRow], float]:
    """Sends the load while the operator acts."""
    entries = [run.nodes[f"entry-{name}"].url for name in DATA_CENTRES[:2]]
    caller = client.Caller(entries, notes.KEYS["harvest"])
    prompts = make_prompts(random.Random(_SEED))
    print(f"sending {len(prompts)} prompts and {_CALLS} calls")
    try:
        return await asyncio.gather(
            load.run(caller, prompts, _RATE_PER_S, _SEED, _RETRIES),
            send_calls(caller),
            operate(run, revision),
        )
    finally:
        caller.close()


def check_answers(answers: Sequence[client.CompletionResult]) -> list[str]:
    """Returns one line for each answer that is not whole and right."""
    return [
        f"prompt of {answer.prompt_tokens} ({answer.priority}): "
        f"{answer.outcome} {answer.code} {answer.detail}"
        for answer in answers
        if answer.outcome != "ok"
    ]


def check_calls(run: fleet.Fleet, rows: Sequence[CallRow]) -> list[str]:
    """Compares what callers heard with what the services' ledgers hold."""
    ran: collections.Counter[str] = collections.Counter()
    for data_centre in DATA_CENTRES:
        for call in run.ledger(f"service-{data_centre}"):
            ran[call["body_digest"]] += 1
    problems = []
    for row in rows:
        expected = {"completed": 1, "not_run": 0}.get(row.outcome)
        if ran[row.digest] != expected:
            problems.append(
                f"call {row.digest}: heard {row.outcome}, "
                f"ran {ran[row.digest]} times"
            )
        elif row.outcome != "completed":
            problems.append(f"call {row.digest}: {row.outcome}")
    return problems


def check_engines(run: fleet.Fleet) -> list[str]:
    """Returns one line for each engine that still holds memory."""
    return [
        f"{name} still holds {used} blocks"
        for name in engine_names(run)
        if (used := run.ledger(name)["blocks_used"])
    ]


def check_drain(run: fleet.Fleet) -> list[str]:
    """Checks that the drained agent ended by itself without an error."""
    process = run.nodes[_DRAINED].process
    try:
        code = process.wait(_SETTLE_S)
    except fleet.FleetError as exc:
        return [str(exc)]
    return [f"{_DRAINED} ended with {code}"] if code else []


def report(
    answers: Sequence[client.CompletionResult],
    rows: Sequence[CallRow],
    in_force_s: float,
    problems: Sequence[str],
) -> None:
    """Prints the tables and the problems."""
    print(load.table(answers))
    again = sum(answer.refusals for answer in answers)
    print(f"refused and sent again: {again}")
    outcomes = collections.Counter(row.outcome for row in rows)
    print(f"calls that may run once: {dict(outcomes)}")
    print(f"second note in force on every engine after {in_force_s:.2f} s")
    for problem in problems:
        print(f"PROBLEM {problem}")
    print("ledger check: " + ("failed" if problems else "passed"))


def run_demo() -> int:
    """Runs the demo; returns the exit code."""
    started_s = time.monotonic()
    with fleet.Fleet(DATA_CENTRES) as run:
        revision = start_fleet(run)
        ready_s = time.monotonic() - started_s
        print(f"{len(run.nodes)} processes ready after {ready_s:.1f} s")
        answers, rows, in_force_s = asyncio.run(drive(run, revision))
        problems = check_answers(answers) + check_calls(run, rows)
        problems += check_drain(run)
        try:
            fleet.wait_for(
                lambda: not check_engines(run), "memory is free", _SETTLE_S
            )
        except fleet.FleetError:
            problems += check_engines(run)
        if in_force_s > _NOTE_IN_FORCE_S:
            problems.append(f"second note took {in_force_s:.1f} s")
        report(answers, rows, in_force_s, problems)
    print(f"demo ended after {time.monotonic() - started_s:.1f} s")
    return 1 if problems else 0


def _raise_exit(signum: int, frame: FrameType | None) -> None:
    del frame
    raise SystemExit(128 + signum)


def main() -> int:
    """Runs the demo; SIGTERM and SIGINT end it and its processes."""
    signal.signal(signal.SIGTERM, _raise_exit)
    try:
        return run_demo()
    except fleet.FleetError as exc:
        print(f"demo failed: {exc}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
