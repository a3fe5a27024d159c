"""How the operators' commands find the platform's log."""

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


def names_log(args: argparse.Namespace) -> bool:
    """Tells whether the command names a log."""
    return bool(args.log or args.settings)


def log_arguments(args: argparse.Namespace) -> str:
    """Returns the options that name the same log again."""
    if args.log:
        return f"--log {args.log}"
    return f"--settings {args.settings}"


@contextlib.contextmanager
def open_log(
    args: argparse.Namespace,
) -> Iterator[platform_log.LogService]:
    """Opens the log that the command names, on the running event loop.

    Raises:
        SettingsError: The settings file is not valid.
    """
    url = args.log or settings.load(args.settings).platform.log
    log = platform_log.HttpLogService(url)
    try:
        yield platform_log.ReadRetryingLog(log)
    finally:
        log.close()
