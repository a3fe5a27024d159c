"""Hypothesis profiles, ports of parallel workers, and checks of marks.

The profiles are the deterministic "ci" and "fuzz" with a random seed.
"""

import os
import random

import hypothesis
import pytest

from apricottrestle_standins import fleet

hypothesis.settings.register_profile(
    "ci", derandomize=True, max_examples=60, deadline=None, database=None
)
hypothesis.settings.register_profile(
    "fuzz", max_examples=2000, deadline=None, print_blob=True, database=None
)
_PROFILE = os.environ.get("HYPOTHESIS_PROFILE", "ci")
hypothesis.settings.load_profile(_PROFILE)


def pytest_configure(config: pytest.Config) -> None:
    """Prints the seed of a fuzz run, and chooses one unless it is given."""
    _divide_ports()
    if _PROFILE != "fuzz":
        return
    seed = config.getoption("--hypothesis-seed", default=None)
    if seed is None:
        seed = random.SystemRandom().randrange(2**32)
        config.option.hypothesis_seed = seed
    print(f"hypothesis seed: {seed}")


def _divide_ports() -> None:
    """Gives each parallel worker ports of its own.

    Two workers could otherwise allocate the same port before either binds it.
    """
    worker = os.environ.get("PYTEST_XDIST_WORKER", "")
    count = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    if worker:
        fleet.use_ports(int(worker.removeprefix("gw")), count)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Requires the mark `process` beside `alone`; `run_suite` relies on it."""
    for item in items:
        if item.get_closest_marker("alone") and not item.get_closest_marker(
            "process"
        ):
            raise pytest.UsageError(f"{item.nodeid}: alone without process")
