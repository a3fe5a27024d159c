"""G1 and G2 with real processes for prompts that need several engines."""

import pytest

from apricottrestle_standins import fleet
from tests import process_harness as harness

pytestmark = pytest.mark.process

_GROUP_TOKENS = 140_000
"""More than twice the 65,536 KV cache tokens of one engine."""

_PRIORITIES = ("batch", "urgent", "standard")


def test_groups_that_compete_for_engines_all_finish() -> None:
    """A group must be able to reserve again after a failed reservation."""
    with harness.running_fleet(harness.FleetSize(engines=5)) as deployment:
        urls = harness.entry_urls(deployment)
        streams = [
            harness.BackgroundStream(
                urls[index % 2 :] + urls[: index % 2],
                harness.make_prompt(
                    _GROUP_TOKENS,
                    20,
                    salt=index,
                    priority=priority,
                    time_limit_s=30.0,
                ),
            )
            for index, priority in enumerate(_PRIORITIES)
        ]
        answers = [stream.answer() for stream in streams]
        assert [answer.outcome for answer in answers] == ["ok"] * 3, answers
        fleet.wait_for(
            lambda: harness.blocks_used(deployment) == 0, "all memory is free"
        )
