"""Runs mutation tests: changes that break a guarantee must fail a test.

`python -m tests.mutations` applies each mutation of mutations.toml to a copy of
the package, runs the named test against the copy and prints whether the test
failed, as it must.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib
from typing import Any, Final, NamedTuple

_ROOT: Final = pathlib.Path(__file__).parent.parent
_TIMEOUT_S: Final = 300


class Mutation(NamedTuple):
    """A change of the package that a test must detect.

    Attributes:
        guarantee: Guarantee that the change breaks.
        what: What the change does.
        path: File below src/apricottrestle.
        old: Text to replace; it occurs exactly once in the file.
        new: Replacement.
        test: Test that must fail, as a pytest node id or prefix.
    """

    guarantee: str
    what: str
    path: str
    old: str
    new: str
    test: str


def _read() -> dict[str, Any]:
    path = _ROOT / "tests" / "mutations.toml"
    return tomllib.loads(path.read_text())


def _load() -> tuple[Mutation, ...]:
    return tuple(Mutation(**row) for row in _read()["mutation"])


MUTATIONS: Final = _load()


def render() -> str:
    """Returns the section on mutations of the fault matrix page."""
    lines = [
        "## Mutations",
        "",
        "Each row breaks a guarantee on purpose; `make mutations` applies it",
        "to a copy and expects the test to fail.",
        "",
        f"Last run: {_read()['last_run']}.",
        "",
        "| Guarantee | Mutation | File | Test that fails |",
        "|---|---|---|---|",
    ]
    lines += [
        f"| {m.guarantee} | {m.what} | {m.path} | `{m.test}` |"
        for m in MUTATIONS
    ]
    return "\n".join(lines) + "\n"


def apply(mutation: Mutation, package: pathlib.Path) -> None:
    """Changes the file of a copied package.

    Raises:
        ValueError: The old text does not occur exactly once in the file.
    """
    path = package / mutation.path
    text = path.read_text()
    if text.count(mutation.old) != 1:
        raise ValueError(
            f"{mutation.path}: text to replace must occur exactly once"
        )
    path.write_text(text.replace(mutation.old, mutation.new))


def is_detected(mutation: Mutation) -> bool:
    """Returns whether the test fails against a mutated copy of the package."""
    with tempfile.TemporaryDirectory() as folder:
        src = pathlib.Path(folder) / "src"
        shutil.copytree(_ROOT / "src", src)
        apply(mutation, src / "apricottrestle")
        command = [sys.executable, "-m", "pytest", "-x", mutation.test]
        env = os.environ | {"PYTHONPATH": str(src)}
        result = subprocess.run(
            command,
            cwd=_ROOT,
            env=env,
            capture_output=True,
            check=False,
            timeout=_TIMEOUT_S,
        )
        # Exit status 1 means that tests failed; others report pytest errors.
        return result.returncode == 1


def main() -> int:
    """Runs all mutations; returns 1 if a test fails to detect its mutation."""
    undetected_count = 0
    for mutation in MUTATIONS:
        detected = is_detected(mutation)
        undetected_count += not detected
        verdict = "detected" if detected else "NOT DETECTED"
        print(f"{mutation.guarantee} {mutation.what}: {verdict}", flush=True)
    return 1 if undetected_count else 0


if __name__ == "__main__":
    sys.exit(main())
