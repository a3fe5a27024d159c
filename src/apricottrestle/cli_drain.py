"""Command `drain INSTANCE`: plans the stop of an instance."""

import argparse
import asyncio
import secrets
from typing import Any, Final

import msgspec

from apricottrestle import cli_output, cli_platform, errors, platform_log

_TRIES: Final = 3


def add_parser(commands: Any) -> None:
    """Adds the command to argparse's subparsers."""
    parser = commands.add_parser(
        "drain", help="plan the stop of an instance, cutting no request"
    )
    parser.add_argument("instance", metavar="INSTANCE")
    cli_platform.add_log_options(parser)
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    offset = asyncio.run(_drain(args))
    cli_output.print_result(
        {"ok": True, "instance": args.instance, "offset": offset},
        [
            f"{args.instance}: drain recorded at offset {offset}; it stops"
            " taking work within a few seconds"
        ],
        as_json=args.json,
    )
    return cli_output.EXIT_OK


async def _drain(args: argparse.Namespace) -> int:
    record_id = f"drain-{args.instance}-{secrets.token_hex(4)}"
    data = msgspec.json.encode({"instance": args.instance}).decode()
    with cli_platform.open_log(args) as log:
        for _ in range(_TRIES - 1):
            # A second record of the same drain changes nothing, so a lost
            # answer is simply tried again.
            try:
                return await log.append(
                    platform_log.DRAINS_STREAM, record_id, data
                )
            except errors.AppendUnknownError:
                continue
        return await log.append(platform_log.DRAINS_STREAM, record_id, data)
