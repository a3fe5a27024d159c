"""Workers break off answers in chunks with a line that is no chunk."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import standins  # noqa: E402

WORKERS = 3
"""Of each service; one of the three is in trouble."""

SPOILED_EVERY = 50
"""One answer in so many of a worker in trouble: 2 in 100."""

REQUESTS = 450
"""Of each kind."""

AT_ONCE = 12
EVENTS = 8
LOG_LINE = b"00:12:33 ERROR out of memory\r\n\r\n"
"""What the worker writes where the size of the next chunk is due."""

PLAIN_PARTS = [b"%04d" % number * 50 for number in range(4)]
EVENT_PARTS = [
    b"id: %d\ndata: part %d\n\n" % (number, number)
    for number in range(1, EVENTS + 1)
]
PROMPT = {
    "Apricottrestle-Model": "m",
    "Apricottrestle-Token-Usage": "2000,400",
    "Apricottrestle-Prompt-Prefix": "5c1e07a2:40,91bd3f06:1960",
}
BODIES = {
    "order": b"".join(PLAIN_PARTS),
    "look": b"".join(PLAIN_PARTS),
    "note": b"".join(EVENT_PARTS),
}


class Answers:
    """Counts the answers of the workers in trouble, and spoils some."""

    def __init__(self, *, trouble: bool) -> None:
        """Creates it; without trouble all answers are sound."""
        self.spoiled: dict[str, str] = {}
        self._trouble = trouble
        self._counts: dict[str, int] = {}

    async def answer(
        self,
        worker: standins.Worker,
        line: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; see standins.Script."""
        request_id = headers[standins.ID]
        worker.runs.append((request_id, 0.0))
        is_stream = "/note/" in line
        parts = EVENT_PARTS if is_stream else PLAIN_PARTS
        parts = parts[int(headers.get("last-event-id", "0")) :]
        is_spoiled = False
        if self._trouble and worker.name.endswith("-0"):
            count = self._counts[worker.name] = (
                self._counts.get(worker.name, 0) + 1
            )
            is_spoiled = count % SPOILED_EVERY == 0
        framing = "Transfer-Encoding: chunked\r\n"
        if is_stream:
            framing += "Content-Type: text/event-stream\r\n"
        writer.write(standins.head(headers, framing))
        for number, part in enumerate(parts):
            await asyncio.sleep(0.01)
            if is_spoiled and number == len(parts) // 2:
                self.spoiled[request_id] = worker.name
                worker.record.note(f"{request_id}: {worker.name} breaks off")
                writer.write(LOG_LINE)
                return False
            writer.write(b"%x\r\n%b\r\n" % (len(part), part))
        writer.write(b"0\r\n\r\n")
        return True


async def run(
    record: standins.Record, temporary: pathlib.Path, trouble: bool
) -> bool | None:
    """Runs the case."""
    store = standins.Store()
    await store.start()
    store.put("keyed.op", "config", standins.config())
    answers = Answers(trouble=trouble)
    for service in ("ledger", "assist"):
        for number in range(WORKERS):
            worker = standins.Worker(
                store, f"{service}-{number}", service, answers.answer, record
            )
            await worker.start()
            worker.register()
    gateway = standins.Gateway(
        0, store.address, temporary, bounds=standins.GROWN_BOUNDS
    )
    mixed: list[str] = []
    whole = 0
    room = asyncio.Semaphore(AT_ONCE)

    async def call(kind: str, number: int) -> None:
        nonlocal whole
        request_id = f"{kind}-{number}"
        async with room:
            answer = await standins.send(
                gateway.front,
                f"/{kind}/1",
                request_id,
                extra=PROMPT if kind == "note" else {},
            )
        if answer.status != 200 or not answer.complete:
            record.note(
                f"{request_id}: {answer.status}, complete: {answer.complete}"
            )
        elif answer.body == BODIES[kind]:
            whole += 1
        else:
            mixed.append(request_id)
            record.note(
                f"{request_id}: 200, complete, with {len(answer.body)} of"
                f" {len(BODIES[kind])} bytes"
            )

    try:
        gateway.start()
        if not await gateway.wait_ready():
            return None
        for kind in BODIES:
            await asyncio.gather(*(call(kind, n) for n in range(REQUESTS)))
    finally:
        gateway.end()
    record.note(
        f"whole answers {whole}; spoiled by workers {len(answers.spoiled)};"
        f" parts that clients got as complete answers {len(mixed)}: {mixed}"
    )
    if whole < REQUESTS or (trouble and not answers.spoiled):
        return None
    return not mixed


standins.main(FOLDER, run)
