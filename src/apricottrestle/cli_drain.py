"""Command `drain INSTANCE`: requests a graceful stop of an instance."""

import argparse
import asyncio
import secrets
from typing import Any, Final

import msgspec

from apricottrestle import cli_output, cli_platform, errors, platform_log

_MAX_ATTEMPTS: Final = 3


def add_parser(commands: Any) -> None:
    """Adds the command to argparse's subparsers."""
    parser = commands.add_parser(
        "drain", help="drain an instance, without interrupting its requests"
    )
    parser.add_argument("instance", metavar="INSTANCE")
    cli_platform.add_log_options(parser)
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    offset = asyncio.run(_drain(args))
    cli_output.print_result(
        {"ok": True, "instance": args.instance, "offset": offset},
        [
            f"{args.instance}: drain recorded at offset {offset}; the instance"
            " accepts no new work after a few seconds"
        ],
        as_json=args.json,
    )
    return cli_output.EXIT_OK


async def _drain(args: argparse.Namespace) -> int:
    record_id = f"drain-{args.instance}-{secrets.token_hex(4)}"
    data = msgspec.json.encode({"instance": args.instance}).decode()
    with cli_platform.open_log(args) as log:
        for _ in range(_MAX_ATTEMPTS - 1):
            # A second record of the same drain has no effect, so the append is
            # safe to retry when its answer is lost.
            try:
                return await log.append(
                    platform_log.DRAINS_STREAM, record_id, data
                )
            except errors.AppendUnknownError:
                continue
        return await log.append(platform_log.DRAINS_STREAM, record_id, data)
