"""Starts small fleets of real processes, and sends prompts to them."""

import asyncio
import contextlib
import functools
import itertools
import threading
from collections.abc import Iterator, Sequence
from typing import Any, Final, NamedTuple

import msgspec

from apricottrestle_standins import client, fleet, notes

DATA_CENTRE: Final = "radgona"
PREFILL_TOKENS_PER_S: Final = 200_000.0
_STREAM_TIMEOUT_S: Final = 40.0
_TOKEN_ID_BOUND: Final = 50_000


class FleetSize(NamedTuple):
    """Numbers of processes of a fleet, and settings of its engines."""

    engines: int = 2
    services: int = 0
    entries: int = 2
    decode_tokens_per_s: float = 40.0
    kv_blocks: int = 4096
    grace_s: float = 5.0


@contextlib.contextmanager
def running_fleet(size: FleetSize) -> Iterator[fleet.Fleet]:
    """Starts a fleet, publishes the first release note and waits for readiness.

    Yields:
        The fleet, of which every entry serves prompts and issues keys.
    """
    with fleet.Fleet([DATA_CENTRE], grace_s=size.grace_s) as deployment:
        deployment.start_platform()
        for index in range(size.engines):
            deployment.start_standin(
                f"engine-{index}",
                "engine",
                kv_blocks=size.kv_blocks,
                prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
                decode_tokens_per_s=size.decode_tokens_per_s,
            )
        for index in range(size.services):
            deployment.start_standin(f"service-{index}", "service")
        deployment.wait_standins()
        deployment.publish_note(notes.first_note())
        for index in range(size.engines):
            start_engine_agent(deployment, index)
        for index in range(size.services):
            deployment.start_agent(
                f"caller-{index}",
                DATA_CENTRE,
                f"service-{index}",
                service=notes.SERVICE,
            )
        for index in range(size.entries):
            deployment.start_entry(f"entry-{index}", DATA_CENTRE)
        deployment.wait_ready()
        if size.engines:
            wait_until_serving(deployment)
        callers = {f"caller-{index}" for index in range(size.services)}
        for url in entry_urls(deployment):
            _wait_for_keys_of(url, callers)
        yield deployment


def start_engine_agent(deployment: fleet.Fleet, index: int) -> fleet.Node:
    """Starts the agent of the engine `engine-<index>`."""
    return deployment.start_agent(
        f"agent-{index}",
        DATA_CENTRE,
        f"engine-{index}",
        prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
    )


def entry_urls(deployment: fleet.Fleet) -> list[str]:
    """Returns the caller API URL of each entry, in order of start."""
    return [
        node.url
        for name, node in deployment.nodes.items()
        if name.startswith("entry")
    ]


def wait_until_serving(deployment: fleet.Fleet) -> None:
    """Waits until every entry has completed a short prompt."""
    for url in entry_urls(deployment):
        fleet.wait_for(
            functools.partial(_is_serving, url), f"{url} serves a prompt"
        )


def restart_ended_processes(deployment: fleet.Fleet) -> None:
    """Restarts ended processes; waits until every entry uses every engine.

    Lets tests that end processes share a fleet, because a restart takes about
    one second and the start of a fleet about four.
    """
    for name, node in list(deployment.nodes.items()):
        if not node.process.running():
            deployment.restart(name)
    deployment.wait_standins()
    deployment.wait_ready()
    for url in entry_urls(deployment):
        _wait_until_all_engines_used(deployment, url)


def _wait_until_all_engines_used(deployment: fleet.Fleet, url: str) -> None:
    """Sends short prompts until each engine has started one of them."""
    before = _started_run_counts(deployment)
    salts = itertools.count()

    def all_started() -> bool:
        prompt = make_prompt(20, 2, salt=next(salts))
        send_prompt([url], prompt, retries=3)
        return all(
            count > before[name]
            for name, count in _started_run_counts(deployment).items()
        )

    fleet.wait_for(all_started, f"{url} uses every engine")


def _started_run_counts(deployment: fleet.Fleet) -> dict[str, int]:
    return {
        name: len(deployment.ledger(name)["runs"])
        for name in deployment.nodes
        if name.startswith("engine")
    }


def _is_serving(url: str) -> bool:
    return send_prompt([url], make_prompt(20, 2)).outcome == "ok"


def make_prompt(
    length: int,
    max_tokens: int,
    *,
    salt: int = 0,
    priority: str = "standard",
    time_limit_s: float | None = None,
) -> client.Prompt:
    """Returns a prompt whose token ids are derived from length and salt."""
    ids = [(index * 31 + salt) % _TOKEN_ID_BOUND for index in range(length)]
    return client.Prompt(ids, max_tokens, notes.MODEL, priority, time_limit_s)


def send_prompt(
    urls: Sequence[str], prompt: client.Prompt, retries: int = 0
) -> client.CompletionResult:
    """Sends a prompt and waits for its answer."""
    return BackgroundStream(urls, prompt, retries=retries).answer()


class BackgroundStream:
    """A prompt that a background thread sends and whose answer it reads.

    Attributes:
        received_tokens: Number of tokens received so far.
    """

    def __init__(
        self,
        urls: Sequence[str],
        prompt: client.Prompt,
        *,
        retries: int = 0,
        resume: bool = True,
        timeout_s: float = _STREAM_TIMEOUT_S,
        continue_from: client.CompletionResult | None = None,
    ) -> None:
        """Starts the thread.

        Args:
            urls: Entries to try in this order.
            prompt: The prompt.
            retries: How often a refused prompt is retried.
            resume: Whether to resume the stream when it breaks off.
            timeout_s: Time limit of each HTTP call.
            continue_from: Incomplete answer whose stream is resumed.
        """
        self.received_tokens = 0
        self._resume = resume
        self._timeout_s = timeout_s
        self._continue_from = continue_from
        self._urls = urls
        self._prompt = prompt
        self._retries = retries
        self._answer: client.CompletionResult | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        self._answer = asyncio.run(self._complete())

    async def _complete(self) -> client.CompletionResult:
        caller = client.Caller(self._urls, notes.KEYS["harvest"])
        try:
            return await caller.complete(
                self._prompt,
                resume=self._resume,
                retries=self._retries,
                on_token=self._record_progress,
                timeout_s=self._timeout_s,
                continue_from=self._continue_from,
            )
        finally:
            caller.close()

    def _record_progress(self, answer: client.CompletionResult) -> None:
        self.received_tokens = len(answer.tokens)

    def wait_tokens(self, count: int) -> None:
        """Waits until `count` tokens have arrived."""
        fleet.wait_for(
            lambda: self.received_tokens >= count or self._answer,
            f"{count} tokens received",
        )
        assert self._answer is None, self._answer

    def answer(self) -> client.CompletionResult:
        """Waits for the end of the stream and returns its answer."""
        self._thread.join(_STREAM_TIMEOUT_S)
        if self._answer is None:
            raise fleet.FleetError("the stream did not end in time")
        return self._answer


def engine_runs(
    deployment: fleet.Fleet, prompt_tokens: int
) -> dict[str, list[Any]]:
    """Returns the runs of prompts with a given length, by engine name.

    Reads the ledgers of the engine stand-ins, and omits engines that have
    ended.
    """
    by_engine = {}
    for name, node in deployment.nodes.items():
        if name.startswith("engine") and node.process.running():
            rows = deployment.ledger(name)["runs"]
            by_engine[name] = [
                row for row in rows if row["prompt_tokens"] == prompt_tokens
            ]
    return by_engine


def engine_running_prompt(deployment: fleet.Fleet, prompt_tokens: int) -> str:
    """Returns the engine that started the only prompt of a given length."""
    names = [
        name
        for name, rows in engine_runs(deployment, prompt_tokens).items()
        if rows
    ]
    assert len(names) == 1, names
    return names[0]


def blocks_used(deployment: fleet.Fleet) -> int:
    """Returns the KV cache blocks in use on all running engines."""
    return sum(
        deployment.ledger(name)["blocks_used"]
        for name, node in deployment.nodes.items()
        if name.startswith("engine") and node.process.running()
    )


def issue_key(url: str) -> str:
    """Requests and returns an idempotency key for the service."""
    answer = _request_key(url)
    assert answer.status == 200, answer
    return str(answer.json()["idempotency_key"])


def _request_key(url: str) -> fleet.HttpResponse:
    path = "/v1/idempotency-keys"
    body = {"service": notes.SERVICE}
    return fleet.call("POST", url + path, body, authorization())


def _wait_for_keys_of(url: str, agents: set[str]) -> None:
    """Waits until an entry has issued a key of each agent.

    An entry that doesn't know the agent of a key appends a refusal of the key
    to the log, after which no call with that key runs.
    """
    agents_seen: set[str] = set()

    def all_agents_seen() -> bool:
        answer = _request_key(url)
        if answer.status == 200:
            agents_seen.add(agent_of_key(answer.json()["idempotency_key"]))
        return agents <= agents_seen

    if agents:
        fleet.wait_for(all_agents_seen, f"{url} issues keys of all agents")


def agent_of_key(key: str) -> str:
    """Returns the agent that issued a key."""
    return key.split("~")[2]


def authorization(key: str = notes.KEYS["harvest"]) -> dict[str, str]:
    """Returns the Authorization header for an API key."""
    return {"Authorization": f"Bearer {key}"}


def call_with_key(
    url: str, key: str, body: bytes, *, time_limit_ms: int = 10_000
) -> fleet.HttpResponse:
    """Calls the non-idempotent path of the service with an idempotency key."""
    headers = authorization() | {
        "Idempotency-Key": key,
        "X-Time-Limit-Ms": str(time_limit_ms),
    }
    path = f"/v1/services/{notes.SERVICE}{notes.NON_REPEATABLE_PATH}"
    return fleet.call(
        "POST", url + path, body, headers, timeout_s=time_limit_ms / 1000 + 10
    )


def reported_outcome(answer: fleet.HttpResponse) -> str:
    """Returns "completed", or the outcome stated in an error response."""
    if answer.status == 200:
        return "completed"
    return str(msgspec.json.decode(answer.body)["error"]["outcome"])
