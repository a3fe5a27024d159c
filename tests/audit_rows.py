"""Builders of audit rows and helpers to append batches."""

import asyncio

from apricottrestle import audit, errors, platform_log
from tests import fake_log


def row(
    req_id: str,
    *,
    peer: str = "",
    attempt: int = 1,
    start: float = 100.0,
    outcome: str = "completed",
    config_rev: int = 7,
) -> audit.AuditRow:
    """Returns the row of a request that took ten seconds."""
    return audit.AuditRow(
        req_id=req_id,
        attempt=attempt,
        team="orders",
        priority="urgent",
        upstream="m",
        version="v1",
        config_rev=config_rev,
        peer=peer,
        start=start,
        end=start + 10.0,
        outcome=outcome,
        tokens=12,
    )


def append(log: platform_log.LogService, batch: audit.AuditBatch) -> bool:
    """Appends a batch; returns False if a daemon would have to retry."""
    try:
        asyncio.run(audit.append(log, batch))
    except errors.PlatformError:
        return False
    return True


def flush(log: fake_log.FakeLog, buffer: audit.AuditBuffer) -> None:
    """Appends all rows of a buffer and retries failed appends."""
    while (batch := buffer.take_batch()) is not None:
        if append(log, batch):
            buffer.confirm(batch.seq)
