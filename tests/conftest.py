"""Hypothesis profiles: deterministic "ci", and "fuzz" with a random seed."""

import os
import random

import hypothesis
import pytest

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
    if _PROFILE != "fuzz":
        return
    seed = config.getoption("--hypothesis-seed", default=None)
    if seed is None:
        seed = random.SystemRandom().randrange(2**32)
        config.option.hypothesis_seed = seed
    print(f"hypothesis seed: {seed}")
