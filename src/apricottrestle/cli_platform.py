"""Options of the operators' commands that select the platform's log."""

import argparse
import contextlib
from collections.abc import Iterator

from apricottrestle import platform_log, settings


def add_log_options(
    parser: argparse.ArgumentParser, *, required: bool = True
) -> None:
    """Adds `--log`, `--settings` and `--json` to a command."""
    group = parser.add_mutually_exclusive_group(required=required)
    group.add_argument("--log", metavar="URL", help="base URL of the log")
    group.add_argument(
        "--settings", metavar="FILE", help="settings of an entry or agent"
    )
    parser.add_argument("--json", action="store_true", help="write JSON")


def has_log_option(args: argparse.Namespace) -> bool:
    """Returns whether an option selects a log."""
    return bool(args.log or args.settings)


def format_log_option(args: argparse.Namespace) -> str:
    """Returns the option that selects the same log, for a suggested command."""
    if args.log:
        return f"--log {args.log}"
    return f"--settings {args.settings}"


@contextlib.contextmanager
def open_log(
    args: argparse.Namespace,
) -> Iterator[platform_log.LogService]:
    """Opens the log that the options select, on the running event loop.

    Raises:
        SettingsError: The settings file is not valid.
    """
    url = args.log or settings.load(args.settings).platform.log
    log = platform_log.HttpLogService(url)
    try:
        yield platform_log.ReadRetryingLog(log)
    finally:
        log.close()
