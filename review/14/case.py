"""A rack of workers crashes while a new route's first batch is being read."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import standins  # noqa: E402

WORKERS = 18
CRASHED = 3
"""0.17 of the workers, rounded down."""

BACK_S = 4.5
BATCH = 24
FIRST_EVENT_S = 1.0
EVENTS = 8
EVENT_S = 0.5
CRASH_AFTER_S = 1.6
CONFIG_MS = 3_000
SETTLE_MS = 4_000
LATER = 40
LATER_GAP_S = 0.5

BRIEF = {
    "host": "fleet.example", "priority": 1, "name": "brief",
    "path_prefix": "/brief/", "kind": "stream", "service": "assist",
    "timeout_ms": 10000, "target_latency_ms": 1500, "max_attempts": 2,
    "resumable": True, "gap_target_ms": 600, "sticky": True,
}  # fmt: skip
PARTS = {"note": "5c1e07a2", "brief": "77aa41c3"}
"""The shared part of each route's prompts: its instructions."""


async def stream(
    worker: standins.Worker,
    line: str,
    headers: dict[str, str],
    body: bytes,
    writer: asyncio.StreamWriter,
) -> bool:
    """Answers with a stream; long prompts are read for a second."""
    worker.run(headers[standins.ID])
    await asyncio.sleep(FIRST_EVENT_S if "/brief/" in line else 0.1)
    framing = (
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    )
    writer.write(standins.head(headers, framing))
    for number in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        event = b"id: %d\ndata: x\n\n" % number
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")
    return True


async def crash_rack(
    store: standins.Store,
    workers: list[standins.Worker],
    record: standins.Record,
) -> None:
    """Crashes some workers at once; others take their places."""
    rack = [worker for worker in workers if worker.runs][:CRASHED]
    for worker in rack:
        worker.crash()
        record.note(f"{worker.name} crashes; ran {len(worker.runs)}")
    await asyncio.sleep(BACK_S)
    for number, gone in enumerate(rack):
        back = standins.Worker(
            store, f"i-back-{number}", "assist", stream, record, slots=6
        )
        await back.start()
        back.register()
        gone.deregister()


async def run(
    record: standins.Record, temporary: pathlib.Path, trouble: bool
) -> bool | None:
    """Runs the case."""
    store = standins.Store()
    await store.start()
    engine = {**standins.ENGINE, "slots": 6, "kv_capacity": 267_750}
    first = standins.config(
        services=[
            {"name": "assist", "max_conns": 378, "engine": engine},
            {"name": "ledger", "max_conns": 230},
        ]
    )
    store.put("keyed.op", "config", first)
    workers = [
        standins.Worker(store, f"i-{n}", "assist", stream, record, slots=6)
        for n in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
        worker.register()
    gateways = [
        standins.Gateway(
            n, store.address, temporary, bounds=standins.GROWN_BOUNDS
        )
        for n in range(2)
    ]
    served = dict.fromkeys(PARTS, 0)

    async def call(kind: str, name: str, gateway: standins.Gateway) -> bool:
        tokens = 45_000 if kind == "brief" else 4_960
        answer = await standins.send(
            gateway.front,
            f"/{kind}/1",
            name,
            body=name.encode(),
            deadline_ms=10_000,
            extra={
                "Apricottrestle-Model": "m",
                "Apricottrestle-Token-Usage": f"{tokens},500",
                "Apricottrestle-Prompt-Prefix": (
                    f"{PARTS[kind]}:40,{name.encode().hex()}:{tokens - 40}"
                ),
            },
        )
        reason = answer.body[:40] if answer.status != 200 else b""
        record.note(
            f"answer {name} {answer.status}, complete: {answer.complete}"
            f" {reason!r} Retry-After: {answer.headers.get('retry-after')}"
        )
        return answer.status == 200 and answer.complete

    try:
        for gateway in gateways:
            gateway.start()
        if not all([await gateway.wait_ready() for gateway in gateways]):
            return None
        await asyncio.sleep(SETTLE_MS / 1000 - 2)
        store.put(
            "keyed.op",
            "config",
            {**first, "version": 2, "routes": [*first["routes"], BRIEF]},
        )
        record.note("config 2 adds the route 'brief'")
        await asyncio.sleep(CONFIG_MS / 1000 + 1)
        batch = [
            asyncio.create_task(call("brief", f"batch-{n}", gateways[n % 2]))
            for n in range(BATCH)
        ]
        await asyncio.sleep(CRASH_AFTER_S)
        if trouble:
            await crash_rack(store, workers, record)
        in_batch = sum(await asyncio.gather(*batch))
        record.note(f"served of the batch: {in_batch} of {BATCH}")
        await asyncio.sleep(SETTLE_MS / 1000 + 1)
        tasks = []
        for number in range(LATER):
            for kind in PARTS:
                gateway = gateways[number % 2]
                tasks.append(
                    asyncio.create_task(call(kind, f"{kind}-{number}", gateway))
                )
            await asyncio.sleep(LATER_GAP_S)
        results = await asyncio.gather(*tasks)
        for number, kind in enumerate(PARTS):
            served[kind] = sum(results[number :: len(PARTS)])
    finally:
        for gateway in gateways:
            gateway.end()
    record.note(
        f"in steady state served: {served['note']} of {LATER} on a first route,"
        f" {served['brief']} of {LATER} on the route that was added"
    )
    if served["note"] < LATER // 2:
        return None
    return served["brief"] * 4 >= served["note"]


standins.main(FOLDER, run)
