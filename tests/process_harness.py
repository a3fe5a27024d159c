"""Real processes for tests: small fleets, and streams that run meanwhile."""

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


class Size(NamedTuple):
    """How many processes of each kind a fleet has, and how engines behave."""

    engines: int = 2
    services: int = 0
    entries: int = 2
    decode_tokens_per_s: float = 40.0
    kv_blocks: int = 4096
    grace_s: float = 5.0


@contextlib.contextmanager
def running_fleet(size: Size) -> Iterator[fleet.Fleet]:
    """Starts a fleet with the first release note; ready when yielded."""
    with fleet.Fleet([DATA_CENTRE], grace_s=size.grace_s) as run:
        run.start_platform()
        for index in range(size.engines):
            run.start_standin(
                f"engine-{index}",
                "engine",
                kv_blocks=size.kv_blocks,
                prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
                decode_tokens_per_s=size.decode_tokens_per_s,
            )
        for index in range(size.services):
            run.start_standin(f"service-{index}", "service")
        run.wait_standins()
        run.publish_note(notes.first_note())
        for index in range(size.engines):
            start_engine_agent(run, index)
        for index in range(size.services):
            run.start_agent(
                f"caller-{index}",
                DATA_CENTRE,
                f"service-{index}",
                service=notes.SERVICE,
            )
        for index in range(size.entries):
            run.start_entry(f"entry-{index}", DATA_CENTRE)
        run.wait_ready()
        if size.engines:
            wait_serving(run)
        callers = {f"caller-{index}" for index in range(size.services)}
        for url in entry_urls(run):
            _wait_keys(url, callers)
        yield run


def start_engine_agent(run: fleet.Fleet, index: int) -> fleet.Node:
    """Starts the agent of an engine."""
    return run.start_agent(
        f"agent-{index}",
        DATA_CENTRE,
        f"engine-{index}",
        prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
    )


def entry_urls(run: fleet.Fleet) -> list[str]:
    """Returns the caller API of each entry, in order of start."""
    return [
        node.url for name, node in run.nodes.items() if name.startswith("entry")
    ]


def wait_serving(run: fleet.Fleet) -> None:
    """Waits until every entry has had a short prompt answered."""
    for url in entry_urls(run):
        fleet.wait_for(
            functools.partial(_serves, url), f"{url} serves a prompt"
        )


def restore(run: fleet.Fleet) -> None:
    """Restarts what has ended, until every entry uses every engine again.

    Tests that end processes can thus share a fleet: a restart takes about a
    second, the start of a fleet about four.
    """
    for name, node in list(run.nodes.items()):
        if not node.process.running():
            run.restart(name)
    run.wait_standins()
    run.wait_ready()
    for url in entry_urls(run):
        _wait_all_engines(run, url)


def _wait_all_engines(run: fleet.Fleet, url: str) -> None:
    """Sends short prompts until each engine has started one."""
    before = _started(run)
    salts = itertools.count()

    def all_started() -> bool:
        prompt = make_prompt(20, 2, salt=next(salts))
        ask([url], prompt, retries=3)
        return all(
            count > before[name] for name, count in _started(run).items()
        )

    fleet.wait_for(all_started, f"{url} uses every engine")


def _started(run: fleet.Fleet) -> dict[str, int]:
    return {
        name: len(run.ledger(name)["runs"])
        for name in run.nodes
        if name.startswith("engine")
    }


def _serves(url: str) -> bool:
    return ask([url], make_prompt(20, 2)).outcome == "ok"


def make_prompt(
    length: int,
    max_tokens: int,
    *,
    salt: int = 0,
    priority: str = "standard",
    time_limit_s: float | None = None,
) -> client.Prompt:
    """Returns a prompt whose token ids follow from length and salt."""
    ids = [(index * 31 + salt) % _TOKEN_ID_BOUND for index in range(length)]
    return client.Prompt(ids, max_tokens, notes.MODEL, priority, time_limit_s)


def ask(
    urls: Sequence[str], prompt: client.Prompt, retries: int = 0
) -> client.CompletionResult:
    """Sends one prompt and waits for its answer."""
    return Stream(urls, prompt, retries=retries).answer()


class Stream:
    """A prompt that a background thread sends and reads."""

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
        """Starts the thread; the first URL is asked first.

        Args:
            urls: Entries to ask in turn.
            prompt: The prompt.
            retries: How often a refused prompt is sent again.
            resume: Resume when the stream breaks off.
            timeout_s: Time limit of each HTTP call.
            continue_from: Broken answer whose stream is resumed.
        """
        self.received = 0
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
                on_token=self._count,
                timeout_s=self._timeout_s,
                continue_from=self._continue_from,
            )
        finally:
            caller.close()

    def _count(self, answer: client.CompletionResult) -> None:
        self.received = len(answer.tokens)

    def wait_tokens(self, count: int) -> None:
        """Waits until so many tokens have arrived."""
        fleet.wait_for(
            lambda: self.received >= count or self._answer,
            f"{count} tokens received",
        )
        assert self._answer is None, self._answer

    def answer(self) -> client.CompletionResult:
        """Waits for the end and returns the answer."""
        self._thread.join(_STREAM_TIMEOUT_S)
        if self._answer is None:
            raise fleet.FleetError("the stream does not end")
        return self._answer


def runs(run: fleet.Fleet, prompt_tokens: int) -> dict[str, list[Any]]:
    """Returns the ledger rows of prompts of a length, by engine name.

    An engine that is dead has no ledger and is left out.
    """
    found = {}
    for name, node in run.nodes.items():
        if name.startswith("engine") and node.process.running():
            rows = run.ledger(name)["runs"]
            found[name] = [
                row for row in rows if row["prompt_tokens"] == prompt_tokens
            ]
    return found


def engine_of(run: fleet.Fleet, prompt_tokens: int) -> str:
    """Returns the engine that started the only prompt of a length."""
    names = [name for name, rows in runs(run, prompt_tokens).items() if rows]
    assert len(names) == 1, names
    return names[0]


def blocks_used(run: fleet.Fleet) -> int:
    """Returns the blocks in use on all engines that run."""
    return sum(
        run.ledger(name)["blocks_used"]
        for name, node in run.nodes.items()
        if name.startswith("engine") and node.process.running()
    )


def issue_key(url: str) -> str:
    """Returns an issued idempotency key for the service."""
    answer = _ask_key(url)
    assert answer.status == 200, answer
    return str(answer.json()["idempotency_key"])


def _ask_key(url: str) -> fleet.HttpResponse:
    path = "/v1/idempotency-keys"
    body = {"service": notes.SERVICE}
    return fleet.call("POST", url + path, body, authorization())


def _wait_keys(url: str, agents: set[str]) -> None:
    """Waits until an entry has issued a key of each agent.

    An entry that doesn't know the agent of a key refuses the key on the log,
    and no call under it runs.
    """
    seen: set[str] = set()

    def all_seen() -> bool:
        answer = _ask_key(url)
        if answer.status == 200:
            seen.add(agent_of_key(answer.json()["idempotency_key"]))
        return agents <= seen

    if agents:
        fleet.wait_for(all_seen, f"{url} issues keys of all agents")


def agent_of_key(key: str) -> str:
    """Returns the agent that issued a key."""
    return key.split("~")[2]


def authorization(key: str = notes.KEYS["harvest"]) -> dict[str, str]:
    """Returns the header that names a team."""
    return {"Authorization": f"Bearer {key}"}


def call_once(
    url: str, key: str, body: bytes, *, time_limit_ms: int = 10_000
) -> fleet.HttpResponse:
    """Makes a call that may run at most once."""
    headers = authorization() | {
        "Idempotency-Key": key,
        "X-Time-Limit-Ms": str(time_limit_ms),
    }
    path = f"/v1/services/{notes.SERVICE}{notes.NON_REPEATABLE_PATH}"
    return fleet.call(
        "POST", url + path, body, headers, timeout_s=time_limit_ms / 1000 + 10
    )


def outcome(answer: fleet.HttpResponse) -> str:
    """Returns "completed", or the outcome that an error answer states."""
    if answer.status == 200:
        return "completed"
    return str(msgspec.json.decode(answer.body)["error"]["outcome"])
