"""Workers leave while a gateway has more requests than it sends at once."""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import standins  # noqa: E402

WORKERS = 69
LEAVING = 9
"""0.13 of the workers."""

STREAMS = 380
"""Of 414 that the workers run at once."""

EVENTS = 20
EVENT_S = 0.45
DRAIN_MS = 3_000
SETTLE_MS = 4_000
LEAVE_AFTER_S = 5.2
SERVES_FOR_S = 6.0
"""Time for which a leaving worker goes on serving before it exits."""

ROUTE = {
    "host": "fleet.example", "priority": 0, "name": "note",
    "path_prefix": "/note/", "kind": "stream", "service": "assist",
    "timeout_ms": 15046, "target_latency_ms": 1514, "max_attempts": 2,
    "gap_target_ms": 500, "sticky": True,
}  # fmt: skip


async def stream(
    worker: standins.Worker,
    line: str,
    headers: dict[str, str],
    body: bytes,
    writer: asyncio.StreamWriter,
) -> bool:
    """Answers with a stream of some seconds."""
    worker.run(headers[standins.ID])
    framing = (
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    )
    writer.write(standins.head(headers, framing))
    for number in range(1, EVENTS + 1):
        event = b"id: %d\ndata: x\n\n" % number
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")
    return True


async def call(gateway: standins.Gateway, number: int) -> standins.Answer:
    """Sends one of the requests, which come within half a second."""
    await asyncio.sleep(number * 0.0132)
    return await standins.send(
        gateway.front,
        "/note/1",
        f"note-{number}",
        deadline_ms=15_046,
        extra={
            "Apricottrestle-Model": "m",
            "Apricottrestle-Token-Usage": "2000,500",
            "Apricottrestle-Prompt-Prefix": f"5c1e:40,{number:x}:1960",
        },
    )


async def leave(worker: standins.Worker, left: dict[str, float]) -> None:
    """Reports that a worker is draining; it exits later."""
    worker.register("draining")
    left[worker.name] = time.monotonic()
    worker.record.note(f"{worker.name} is draining, acknowledged")
    await asyncio.sleep(SERVES_FOR_S)
    worker.deregister()
    worker.crash()
    worker.record.note(f"{worker.name} exits")


async def run(
    record: standins.Record, temporary: pathlib.Path, trouble: bool
) -> bool | None:
    """Runs the case."""
    store = standins.Store()
    await store.start()
    store.put("keyed.op", "config", standins.config(routes=[ROUTE]))
    workers = [
        standins.Worker(store, f"i-{n}", "assist", stream, record, slots=6)
        for n in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
        worker.register()
    gateway = standins.Gateway(
        0,
        store.address,
        temporary,
        memory_mb=552,
        bounds=standins.GROWN_BOUNDS,
    )
    left: dict[str, float] = {}
    try:
        gateway.start()
        if not await gateway.wait_ready():
            return None
        await asyncio.sleep(SETTLE_MS / 1000 + 1)
        calls = [
            asyncio.create_task(call(gateway, number))
            for number in range(STREAMS)
        ]
        await asyncio.sleep(LEAVE_AFTER_S)
        leaving = [
            asyncio.create_task(leave(worker, left))
            for worker in workers[: LEAVING if trouble else 0]
        ]
        answers = await asyncio.gather(*calls)
        await asyncio.gather(*leaving)
    finally:
        gateway.end()
    ends = collections.Counter((a.status, a.complete) for a in answers)
    record.note(f"answers, by status and whether complete: {dict(ends)}")
    late = [
        (worker.name, request_id, round(at - left[worker.name], 2))
        for worker in workers
        for request_id, at in worker.runs
        if worker.name in left and at > left[worker.name] + DRAIN_MS / 1000
    ]
    cut = [
        request_id
        for _, request_id, _ in late
        if not answers[int(request_id.rpartition("-")[2])].complete
    ]
    record.note(
        f"requests that reached a leaving worker later than {DRAIN_MS} ms after"
        f" the ack (worker, request, seconds): {late}"
    )
    record.note(f"of these, answers that were cut: {cut}")
    if ends[200, True] < STREAMS // 2:
        return None
    return not late


standins.main(FOLDER, run)
