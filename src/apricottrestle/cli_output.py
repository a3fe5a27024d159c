"""Exit codes and output of the operators' commands.

Invariant: results are written to stdout and errors to stderr; with `--json`
each is one JSON object.
"""

import sys
from collections.abc import Sequence
from typing import Any, Final

import msgspec

from apricottrestle import errors

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_BAD_INPUT: Final = 2
EXIT_UNKNOWN: Final = 3
EXIT_UNREACHABLE: Final = 4


def print_result(
    result: dict[str, Any], lines: Sequence[str], *, as_json: bool
) -> None:
    """Writes a result to stdout.

    Args:
        result: Fields of the JSON object.
        lines: Lines of the text output.
        as_json: Whether to write JSON.
    """
    if as_json:
        print(msgspec.json.encode(result).decode())
        return
    for line in lines:
        print(line)


def namedtuples_to_dicts(value: Any) -> Any:
    """Converts the NamedTuples in a value to dicts, for JSON output."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {
            key: namedtuples_to_dicts(item)
            for key, item in value._asdict().items()
        }
    if isinstance(value, dict):
        return {key: namedtuples_to_dicts(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [namedtuples_to_dicts(item) for item in value]
    return value


def print_problems(problems: Sequence[str], advice: str) -> None:
    """Writes problems and advice on how to resolve them to stderr."""
    for problem in problems:
        print(f"error: {problem}", file=sys.stderr)
    print(advice, file=sys.stderr)


def print_error(
    exc: errors.ApricottrestleError,
    *,
    as_json: bool,
    advice: str = "",
) -> int:
    """Writes an error to stderr and returns its exit code.

    Args:
        exc: The error.
        as_json: Whether to write JSON.
        advice: How to resolve the error; if empty, it is chosen by the type of
            the error.
    """
    problems = getattr(exc, "problems", [exc.message])
    advice = advice or _default_advice(exc)
    if as_json:
        error = {
            "problems": problems,
            "advice": advice,
            "step": exc.step,
            "peer": exc.peer,
        }
        print(msgspec.json.encode({"error": error}).decode(), file=sys.stderr)
        return _exit_code(exc)
    print_problems(problems, f"(step {exc.step}, peer {exc.peer}) {advice}")
    return _exit_code(exc)


def _exit_code(exc: errors.ApricottrestleError) -> int:
    if isinstance(exc, errors.SettingsError):
        return EXIT_BAD_INPUT
    if isinstance(exc, errors.ReleaseError):
        return EXIT_BAD_INPUT if exc.step == "parse" else EXIT_FAILED
    if isinstance(exc, errors.AppendUnknownError):
        return EXIT_UNKNOWN
    if isinstance(exc, errors.PlatformError):
        return EXIT_UNREACHABLE
    return EXIT_FAILED


def _default_advice(exc: errors.ApricottrestleError) -> str:
    if isinstance(exc, errors.SettingsError):
        return "Correct the file and run `apricottrestle settings check`."
    if isinstance(exc, errors.ReleaseError):
        return "Correct the note and run `apricottrestle release check`."
    if isinstance(exc, errors.RateLimitedError):
        return f"Try again in {exc.retry_after_s:g} s."
    if isinstance(exc, errors.AppendUnknownError):
        return "The record may be stored; check the log before you try again."
    if isinstance(exc, errors.PlatformError):
        return "Check the platform's address and state, then try again."
    return "See the daemon's log."
