"""Command `audit export`: lists the served requests and calls, and the gaps."""

import argparse
import asyncio
import datetime
from typing import Any, Final

from apricottrestle import audit_export, cli_output, cli_platform

_HEADER: Final = (
    "start",
    "end",
    "req_id",
    "attempt",
    "team",
    "priority",
    "upstream",
    "version",
    "config_rev",
    "entry",
    "agents",
    "outcome",
    "tokens",
    "missing",
)


def add_parsers(commands: Any) -> None:
    """Adds the command to argparse's subparsers."""
    group = commands.add_parser("audit", help="audit records")
    actions = group.add_subparsers(required=True, metavar="ACTION")
    parser = actions.add_parser(
        "export", help="join the records of entries and agents, list gaps"
    )
    parser.add_argument(
        "--from",
        dest="since",
        type=_parse_time,
        required=True,
        metavar="TIME",
        help="ISO 8601 with time zone, or Unix seconds; inclusive",
    )
    parser.add_argument(
        "--to",
        dest="until",
        type=_parse_time,
        required=True,
        metavar="TIME",
        help="exclusive",
    )
    parser.add_argument(
        "--part",
        type=_parse_part,
        default=(0, 1),
        metavar="K/N",
        help="export the K-th of N parts of the requests, to save memory",
    )
    parser.add_argument(
        "--all",
        action="store_true",
        help="read all records that the log retains, not only those since a day"
        " before --from",
    )
    cli_platform.add_log_options(parser)
    parser.set_defaults(run=_run, parser=parser)


def _run(args: argparse.Namespace) -> int:
    if args.since >= args.until:
        args.parser.error("--from must be before --to")
    part, parts = args.part
    selection = audit_export.Selection(args.since, args.until, part, parts)
    result = asyncio.run(_export(args, selection))
    cli_output.print_result(
        cli_output.namedtuples_to_dicts(result),
        _output_lines(result),
        as_json=args.json,
    )
    return cli_output.EXIT_OK


async def _export(
    args: argparse.Namespace, selection: audit_export.Selection
) -> audit_export.Export:
    with cli_platform.open_log(args) as log:
        return await audit_export.export(log, selection, read_all=args.all)


def _output_lines(result: audit_export.Export) -> list[str]:
    lines = ["\t".join(_HEADER)]
    lines += ["\t".join(_row_fields(joined)) for joined in result.requests]
    lines.append(f"gaps: {len(result.gaps)}")
    lines += [_gap_line(gap) for gap in result.gaps]
    return lines


def _row_fields(joined: audit_export.JoinedRequest) -> list[str]:
    # The last entry's row is that of the entry that finished the request. If no
    # entry's row is there, the last agent's row is shown.
    written = (joined.entries or joined.agents)[-1]
    row = written.row
    return [
        _format_time(row.start),
        _format_time(row.end),
        row.req_id,
        str(row.attempt),
        row.team,
        row.priority,
        row.upstream,
        row.version,
        str(row.config_rev),
        written.writer if joined.entries else row.peer,
        ",".join(item.writer for item in joined.agents) or row.peer or "-",
        row.outcome,
        str(row.tokens),
        joined.missing or "-",
    ]


def _gap_line(gap: audit_export.Gap) -> str:
    rows = "unknown number of" if gap.rows < 0 else str(gap.rows)
    batches = f"{gap.first_seq}-{gap.last_seq or ''}"
    since = _format_time(gap.since) if gap.since else "start"
    until = _format_time(gap.until) if gap.until else "now"
    return "\t".join(
        (
            gap.kind,
            gap.writer or "all writers",
            gap.incarnation or "-",
            f"batches {batches}",
            f"{rows} rows",
            f"{since} to {until}",
        )
    )


def _format_time(seconds: float) -> str:
    date_time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return date_time.isoformat(timespec="milliseconds")


def _parse_time(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        pass
    try:
        date_time = datetime.datetime.fromisoformat(text)
    except ValueError as exc:
        raise argparse.ArgumentTypeError(
            f"found {text!r}, expected ISO 8601 or Unix seconds"
        ) from exc
    if date_time.tzinfo is None:
        raise argparse.ArgumentTypeError(
            f"found {text!r} without a time zone, expected e.g. {text}+00:00"
        )
    return date_time.timestamp()


def _parse_part(text: str) -> tuple[int, int]:
    part, _, parts = text.partition("/")
    fits = part.isdecimal() and parts.isdecimal()
    if not fits or not 1 <= int(part) <= int(parts):
        raise argparse.ArgumentTypeError(
            f"found {text!r}, expected K/N with 1 <= K <= N"
        )
    return int(part) - 1, int(parts)
