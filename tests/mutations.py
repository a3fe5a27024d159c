"""Mutations that break each guarantee on purpose, and the check that runs them.

`python -m tests.mutations` applies each mutation to a copy of the package, runs
the named test against the copy and prints whether the test failed, as it must.
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
    """One change of the package that a test must notice.

    Attributes:
        guarantee: Guarantee that the change breaks.
        what: What the change does.
        path: File below src/apricottrestle.
        old: Text to replace; it stands in the file once.
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
    """Returns the section of the fault matrix page."""
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
        ValueError: The old text does not stand in the file exactly once.
    """
    path = package / mutation.path
    text = path.read_text()
    if text.count(mutation.old) != 1:
        raise ValueError(f"{mutation.path}: text to replace is not unique")
    path.write_text(text.replace(mutation.old, mutation.new))


def is_noticed(mutation: Mutation) -> bool:
    """Runs the test against a mutated copy; True when the test fails."""
    with tempfile.TemporaryDirectory() as folder:
        src = pathlib.Path(folder) / "src"
        shutil.copytree(_ROOT / "src", src)
        apply(mutation, src / "apricottrestle")
        command = [sys.executable, "-m", "pytest", "-x", mutation.test]
        env = os.environ | {"PYTHONPATH": str(src)}
        done = subprocess.run(
            command,
            cwd=_ROOT,
            env=env,
            capture_output=True,
            check=False,
            timeout=_TIMEOUT_S,
        )
        # pytest exits with 1 when tests failed; other codes are its errors.
        return done.returncode == 1


def main() -> int:
    """Runs all mutations; returns 1 when one goes unnoticed."""
    missed = 0
    for mutation in MUTATIONS:
        noticed = is_noticed(mutation)
        missed += not noticed
        verdict = "noticed" if noticed else "NOT NOTICED"
        print(f"{mutation.guarantee} {mutation.what}: {verdict}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
