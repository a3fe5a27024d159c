"""JSON log lines, one a line, on one stream.

Invariant: neither prompt text nor a key is logged; callers of `decision` pass
ids and counts only.
"""

import logging
from typing import Any, TextIO

from pythonjsonlogger import json as json_logger


def configure(stream: TextIO, level: int = logging.INFO) -> None:
    """Sends all log records to a stream, as JSON, one line each.

    Args:
        stream: Where the lines go.
        level: Least level that is written.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        json_logger.JsonFormatter(
            ["asctime", "levelname", "name", "message"],
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def decision(logger: logging.Logger, kind: str, **fields: Any) -> None:
    """Logs a routing, placement or configuration decision.

    Args:
        logger: Logger of the deciding module.
        kind: Kind of decision, e.g. "route".
        **fields: What the decision rests on; nested under "decision", so that
            a field may have any name.
    """
    logger.info(kind, extra={"decision": fields})
