"""A planned stop drops accepted requests that still wait for an engine."""

import asyncio
import signal

import review_fleet as fleet

ENGINES = 2
REQUESTS = 5
PROMPT_TOKENS = 300_000
OUTPUT_TOKENS = 816
TIMEOUT_MS = 15_000
INTERVAL_S = 0.2
STOP_AFTER_S = 0.5
"""Time between the last request and the SIGTERM."""

GRACE_S = 8.0
LOSS_SLACK_S = 0.2


async def case(record: fleet.Record) -> bool:
    """Stops one of two gateways; True if the rule was broken."""
    engines: list[fleet.Worker] = [
        fleet.Engine(f"i-{number}", "engines", record)
        for number in range(ENGINES)
    ]
    deployment = fleet.Fleet(record, engines, 2)
    route = fleet.make_route(
        "review",
        "stream",
        "engines",
        timeout_ms=TIMEOUT_MS,
        target_latency_ms=6_000,
        gap_target_ms=1_000,
        resumable=True,
        sticky=True,
    )
    config = fleet.make_config(
        1, [route], [{"name": "engines", "engine": fleet.ENGINE}]
    )
    async with deployment.running(config):
        gateway = deployment.gateways[0]
        loop = asyncio.get_running_loop()
        sends: list[tuple[str, asyncio.Task[fleet.Answer]]] = []
        # The gateway was started less than 3 s ago.
        await asyncio.sleep(3.5)
        for number in range(REQUESTS):
            request_id = f"{number + 1:016x}"
            record.add(f"request {request_id} is sent to {gateway.name}")
            task = loop.create_task(
                gateway.send(
                    "POST",
                    "/review/1",
                    request_id,
                    TIMEOUT_MS,
                    (
                        "Apricottrestle-Model: m",
                        f"Apricottrestle-Token-Usage: {PROMPT_TOKENS},"
                        f"{OUTPUT_TOKENS}",
                        f"Apricottrestle-Prompt-Prefix: aa:40,{request_id}:"
                        f"{PROMPT_TOKENS - 40}",
                    ),
                    b"x" * 1000,
                )
            )
            sends.append((request_id, task))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(STOP_AFTER_S)
        stopped_at = loop.time()
        if fleet.has_trouble():
            record.add(f"SIGTERM to {gateway.name}; grace {GRACE_S} s")
            gateway.signal(signal.SIGTERM)
        rows = [(name, await task) for name, task in sends]
    reached = {name for engine in engines for name, _ in engine.arrivals}
    lost = 0
    for name, answer in rows:
        waited_s = answer.ended_at - answer.sent_at
        record.add(
            f"request {name}: {answer.status} {answer.end} after "
            f"{waited_s:.2f} s, "
            + ("reached a worker" if name in reached else "reached no worker")
        )
        if (
            not answer.complete
            and name not in reached
            and answer.ended_at <= stopped_at + GRACE_S + 1
            and LOSS_SLACK_S < waited_s < TIMEOUT_MS / 1000 - 1
        ):
            lost += 1
    record.add(f"lost: {lost} of {len(rows)} requests")
    return lost > 0


fleet.run_case(__file__, case)
