"""Command line: the daemons and the operators' commands.

Exit codes: 0 ok, 1 failed or rejected, 2 bad input or settings, 3 outcome
unknown, 4 platform not reachable. Results go to stdout, errors to stderr.
"""

import argparse
import importlib
import sys
from typing import Any

import zmq

from apricottrestle import (
    cli_audit,
    cli_drain,
    cli_explain,
    cli_output,
    cli_release,
    errors,
    settings,
)


def main(argv: list[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    Args:
        argv: Arguments without the program name; None for the arguments of the
            process.
    """
    args = _parser().parse_args(argv)
    try:
        code: int = args.run(args)
    except errors.ApricottrestleError as exc:
        return cli_output.print_error(exc, as_json=args.json)
    return code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="apricottrestle",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_daemon(commands, "entry", _run_entry)
    _add_daemon(commands, "agent", _run_agent)
    _add_settings(commands)
    cli_release.add_parsers(commands)
    cli_drain.add_parser(commands)
    cli_audit.add_parsers(commands)
    cli_explain.add_parser(commands)
    return parser


def _add_daemon(commands: Any, name: str, run: Any) -> None:
    parser = commands.add_parser(name, help=f"run an {name}")
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.set_defaults(run=run, json=False)


def _add_settings(commands: Any) -> None:
    group = commands.add_parser("settings", help="settings files")
    actions = group.add_subparsers(required=True, metavar="ACTION")
    parser = actions.add_parser("check", help="check a settings file")
    parser.add_argument("file", metavar="FILE")
    parser.add_argument("--json", action="store_true", help="write JSON")
    parser.set_defaults(run=_run_settings_check)


# A daemon's module is imported only when it is run: the other commands start
# faster without it, and an entry must not load the agent.


def _run_entry(args: argparse.Namespace) -> int:
    return _run_daemon("entry_daemon", settings.load_entry(args.settings))


def _run_agent(args: argparse.Namespace) -> int:
    return _run_daemon("agent_daemon", settings.load_agent(args.settings))


def _run_daemon(
    name: str, cfg: settings.EntrySettings | settings.AgentSettings
) -> int:
    daemon = importlib.import_module(f"apricottrestle.{name}")
    try:
        daemon.run(cfg)
    except (OSError, zmq.ZMQError) as exc:
        cli_output.print_problems(
            [f"{cfg.instance_id}: {type(exc).__name__}: {exc}"],
            "Check that the addresses in the settings belong to this machine"
            " and that no other process uses them.",
        )
        return cli_output.EXIT_FAILED
    return cli_output.EXIT_OK


def _run_settings_check(args: argparse.Namespace) -> int:
    role = settings.role_of(args.file)
    cfg = settings.load(args.file)
    cli_output.print_result(
        {"ok": True, "role": role, "instance_id": cfg.instance_id},
        [f"{args.file}: settings of {role} {cfg.instance_id} are valid"],
        as_json=args.json,
    )
    return cli_output.EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
