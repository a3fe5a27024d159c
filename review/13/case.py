"""A worker takes orders, fails after that and answers 503."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import standins  # noqa: E402

WORKERS = 3
"""One of them is in trouble."""

FAILED_OF_TEN = 4
"""Requests in ten that this one fails."""

ORDERS = 120
AT_ONCE = 6
WORK_S = 0.0225
PROMISES = (408, 421, 429, 503)


class Ledger:
    """Takes orders, and counts them as an application would."""

    def __init__(self, *, trouble: bool) -> None:
        """Creates it; without trouble all answers are sound."""
        self.taken: dict[str, list[str]] = {}
        self._trouble = trouble
        self._count = 0

    async def answer(
        self,
        worker: standins.Worker,
        line: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; see standins.Script."""
        worker.run(headers[standins.ID])
        self.taken.setdefault(body.decode(), []).append(headers[standins.ID])
        await asyncio.sleep(WORK_S)
        if self._trouble and worker.name == "ledger-0":
            self._count += 1
            if self._count % 10 < FAILED_OF_TEN:
                # It doesn't say that it has not run the request.
                answer = b"the receipt can't be stored\n"
                framing = f"Content-Length: {len(answer)}\r\n"
                status = "503 Service Unavailable"
                writer.write(standins.head(headers, framing, status) + answer)
                return True
        writer.write(
            standins.head(headers, "Content-Length: 800\r\n") + b"x" * 800
        )
        return True


async def run(
    record: standins.Record, temporary: pathlib.Path, trouble: bool
) -> bool | None:
    """Runs the case."""
    store = standins.Store()
    await store.start()
    store.put("keyed.op", "config", standins.config())
    ledger = Ledger(trouble=trouble)
    for number in range(WORKERS):
        worker = standins.Worker(
            store, f"ledger-{number}", "ledger", ledger.answer, record, slots=6
        )
        await worker.start()
        worker.register()
    gateway = standins.Gateway(0, store.address, temporary)
    room = asyncio.Semaphore(AT_ONCE)
    refused: list[str] = []
    answered = 0

    async def order(number: int) -> None:
        """Sends an order; as clients do, once more after a promise."""
        nonlocal answered
        async with room:
            for attempt in range(2):
                request_id = f"order-{number}-attempt-{attempt}"
                answer = await standins.send(
                    gateway.front,
                    "/order/1",
                    request_id,
                    body=str(number).encode(),
                    deadline_ms=1_500,
                )
                signed = "apricottrestle-server-signature" in answer.headers
                record.note(
                    f"answer {request_id} {answer.status}, signed: {signed}"
                )
                if answer.status not in PROMISES:
                    answered += answer.status == 200
                    return
                if request_id in ledger.taken.get(str(number), []):
                    refused.append(request_id)

    try:
        gateway.start()
        if not await gateway.wait_ready():
            return None
        await asyncio.gather(*(order(number) for number in range(ORDERS)))
    finally:
        gateway.end()
    twice = [name for name, ids in ledger.taken.items() if len(ids) > 1]
    record.note(
        f"orders answered with success {answered}; attempts answered with a"
        f" promise though they had run {len(refused)}; orders taken twice"
        f" after their client had trusted it {len(twice)}"
    )
    if answered < ORDERS // 2:
        return None
    return not refused


standins.main(FOLDER, run)
