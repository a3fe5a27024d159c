"""Commands `release check`, `release publish` and `release show`."""

import argparse
import asyncio
import pathlib
from typing import Any

from apricottrestle import (
    cli_output,
    cli_platform,
    config_state,
    config_sync,
    errors,
    release_fold,
    release_note,
    release_publish,
)


def add_parsers(commands: Any) -> None:
    """Adds the commands to argparse's subparsers."""
    group = commands.add_parser("release", help="release notes")
    actions = group.add_subparsers(required=True, metavar="ACTION")
    check = actions.add_parser(
        "check",
        help="check a note, with a log also against the current revision",
    )
    check.add_argument("file", metavar="FILE")
    cli_platform.add_log_options(check, required=False)
    check.set_defaults(run=_run_check)
    publish = actions.add_parser("publish", help="publish a note")
    publish.add_argument("file", metavar="FILE")
    cli_platform.add_log_options(publish)
    publish.set_defaults(run=_run_publish)
    show = actions.add_parser(
        "show", help="show the configuration, or the verdict on a note"
    )
    show.add_argument("--id", default="", metavar="ID", help="id of a note")
    cli_platform.add_log_options(show)
    show.set_defaults(run=_run_show)


def _run_check(args: argparse.Namespace) -> int:
    note = release_note.parse(_read_note(args.file))
    against = "the text only"
    if cli_platform.has_log_option(args):
        state = asyncio.run(_read_config(args)).state
        against = f"revision {state.revision}"
        problems = release_fold.check_note(state, note)
        if problems:
            raise errors.ReleaseError(problems, step="fold")
    cli_output.print_result(
        {"ok": True, "id": note.note_id, "checked_against": against},
        [f"{note.note_id}: valid (checked against {against})"],
        as_json=args.json,
    )
    return cli_output.EXIT_OK


def _run_publish(args: argparse.Namespace) -> int:
    text = _read_note(args.file)
    note_id = release_note.parse(text).note_id
    result = asyncio.run(_publish(args, text))
    if result.verdict == "accepted":
        cli_output.print_result(
            {"verdict": "accepted", "id": note_id, "offset": result.offset},
            [f"{note_id}: accepted at offset {result.offset}"],
            as_json=args.json,
        )
        return cli_output.EXIT_OK
    return _report_not_accepted(args, note_id, result)


def _report_not_accepted(
    args: argparse.Namespace,
    note_id: str,
    result: release_publish.PublishResult,
) -> int:
    is_unknown = result.verdict == "unknown"
    advice = "Correct the note, or base it on the current revision."
    if is_unknown:
        source = cli_platform.format_log_option(args)
        advice = (
            "To resolve it run `apricottrestle release show --id"
            f" {note_id} {source}`, or publish the same file again."
        )
    if args.json:
        answer = {
            "verdict": result.verdict,
            "id": note_id,
            "offset": result.offset,
            "problems": result.problems,
            "advice": advice,
        }
        cli_output.print_result(answer, [], as_json=True)
    else:
        cli_output.print_problems(
            [f"{note_id}: {result.verdict}", *result.problems], advice
        )
    return cli_output.EXIT_UNKNOWN if is_unknown else cli_output.EXIT_FAILED


def _run_show(args: argparse.Namespace) -> int:
    sync, folded = asyncio.run(_read_release_stream(args))
    if args.id:
        return _show_note(args, sync, folded)
    state = sync.state
    cli_output.print_result(
        cli_output.namedtuples_to_dicts(state),
        _summary_lines(state),
        as_json=args.json,
    )
    return cli_output.EXIT_OK


def _summary_lines(state: config_state.ConfigState) -> list[str]:
    lines = [f"revision {state.revision} ({state.note_id or 'no note yet'})"]
    for section in release_note.SECTIONS:
        names = ", ".join(sorted(getattr(state, section)))
        lines.append(f"{section}: {names or '-'}")
    return lines


def _show_note(
    args: argparse.Namespace,
    sync: config_sync.ConfigSync,
    folded: list[config_sync.FoldedNote],
) -> int:
    matching = [item for item in folded if item.record.note_id == args.id]
    accepted = [item for item in matching if item.verdict == "accepted"]
    if accepted or args.id in sync.state.note_ids:
        offset = accepted[0].record.offset if accepted else 0
        position = f"at offset {offset}" if offset else "before the log's start"
        cli_output.print_result(
            {"verdict": "accepted", "id": args.id, "offset": offset},
            [f"{args.id}: accepted {position}"],
            as_json=args.json,
        )
        return cli_output.EXIT_OK
    if matching:
        last = matching[-1]
        result = release_publish.PublishResult(
            "rejected", last.record.offset, last.problems
        )
        return _report_not_accepted(args, args.id, result)
    result = release_publish.PublishResult(
        "unknown", 0, [f"no such note up to offset {sync.position}"]
    )
    return _report_not_accepted(args, args.id, result)


def _read_note(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.ReleaseError([f"{path}: can't be read: {exc}"]) from exc


async def _publish(
    args: argparse.Namespace, text: str
) -> release_publish.PublishResult:
    with cli_platform.open_log(args) as log:
        return await release_publish.publish(log, text)


async def _read_config(args: argparse.Namespace) -> config_sync.ConfigSync:
    sync, _ = await _read_release_stream(args)
    return sync


async def _read_release_stream(
    args: argparse.Namespace,
) -> tuple[config_sync.ConfigSync, list[config_sync.FoldedNote]]:
    sync = config_sync.ConfigSync()
    with cli_platform.open_log(args) as log:
        folded = await config_sync.catch_up(log, sync)
    release_publish.require_complete(sync)
    return sync, folded
