"""Audit rows and writers for tests."""

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
    """Returns a row of a request of ten seconds."""
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
    """Appends a batch; False when the daemon would have to try again."""
    try:
        asyncio.run(audit.append(log, batch))
    except errors.PlatformError:
        return False
    return True


def flush(log: fake_log.FakeLog, buffer: audit.AuditBuffer) -> None:
    """Appends all that a buffer holds, trying again after failures."""
    while (batch := buffer.take_batch()) is not None:
        if append(log, batch):
            buffer.confirm(batch.seq)
