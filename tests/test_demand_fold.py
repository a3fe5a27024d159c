"""Tests of the fold of the demand stream and its effect on placement."""

import itertools
import math
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from apricottrestle import config_state, demand, placement, platform_log

START = 10 * demand.EPOCH_S
NEXT_EPOCHS = START + 10 * demand.EPOCH_S
MODELS = ("a", "b", "c", "d")


class Stream:
    """Demand stream to which entries append a record per minute."""

    def __init__(self) -> None:
        self.now = START
        self.records: list[platform_log.LogRecord] = []
        self.seq = 0

    def add(self, record_id: str, data: str) -> None:
        self.records.append(
            platform_log.LogRecord(
                len(self.records) + 1, self.now, record_id, data
            )
        )

    def minutes(self, count: int, **entries: dict[str, int]) -> None:
        """Appends a record of each entry for each minute.

        Args:
            count: Number of minutes.
            entries: Tokens per model in a minute, by entry.
        """
        for _ in range(count):
            self.seq += 1
            for name, tokens in entries.items():
                self.now += demand.REPORT_INTERVAL_S / len(entries)
                data = demand.DemandRecord(demand.REPORT_INTERVAL_S, tokens)
                self.add(f"{name}/i/{self.seq}", encode(data))

    def fold(self) -> demand.DemandFold:
        state = demand.DemandFold()
        state.fold(self.records)
        return state


def encode(record: demand.DemandRecord) -> str:
    counter = demand.DemandCounter()
    counter.next_record("e", "i", 0.0)
    for model, tokens in record.tokens.items():
        counter.add(model, tokens)
    taken = counter.next_record("e", "i", record.span_s)
    assert taken is not None
    return taken.data


def demand_fraction(state: demand.DemandFold, model: str) -> float:
    return state.in_force.get(model, 0.0) / math.fsum(state.in_force.values())


@pytest.mark.parametrize(
    ("after", "minutes", "expected"),
    [
        ({"a": 900, "b": 100}, 60, 0.9),
        ({"a": 900, "b": 100}, 1, 0.5),
        ({"a": 520, "b": 480}, 60, 0.5),
        ({"a": 5_000, "b": 5_000}, 60, 0.5),
        ({}, 60, 0.5),
    ],
    ids=["shift", "one minute", "fluctuation", "all grow", "none left"],
)
def test_demand_follows_lasting_shifts_only(
    after: dict[str, int], minutes: int, expected: float
) -> None:
    """Guards against ignoring a shift of demand, and following noise."""
    stream = Stream()
    even = {"a": 500, "b": 500}
    stream.minutes(20, e1=even, e2=even)
    assert demand_fraction(stream.fold(), "a") == pytest.approx(0.5)
    stream.minutes(minutes, e1=after, e2=after)
    # A change happens before the moving average has converged, hence the
    # tolerance; without a change, the first rates stay in force exactly.
    tolerance = 1e-9 if expected == 0.5 else 0.1
    assert demand_fraction(stream.fold(), "a") == pytest.approx(
        expected, abs=tolerance
    )


def test_changes_keep_the_minimum_interval() -> None:
    """Guards against a new model load before the previous one is complete."""
    stream = Stream()
    state = demand.DemandFold()
    changes: list[float] = []
    for minute in range(120):
        tokens = {"a": 9_000, "b": 1} if minute // 9 % 2 else {"b": 9_000}
        stream.minutes(1, e1=tokens)
        before = state.in_force
        state.fold(stream.records)
        if state.in_force != before:
            changes.append(stream.now)
    gaps = [later - sooner for sooner, later in itertools.pairwise(changes)]
    assert len(changes) > 10
    assert min(gaps) >= 300.0


def test_dead_entry_fades_out() -> None:
    """Guards against counting the demand of a dead entry permanently."""
    stream = Stream()
    stream.minutes(12, e1={"a": 900}, e2={"b": 100})
    assert demand_fraction(stream.fold(), "a") == pytest.approx(0.9)
    stream.minutes(3, e2={"b": 100})
    assert demand_fraction(stream.fold(), "a") == pytest.approx(0.9)
    stream.minutes(6, e2={"b": 100})
    assert 0.0 < demand_fraction(stream.fold(), "a") < 0.6
    stream.minutes(20, e2={"b": 100})
    assert stream.fold().in_force == {"b": pytest.approx(100 / 60)}


@pytest.mark.parametrize("outage_s", [120.0, 3_600.0, 14_400.0])
def test_log_outage_changes_nothing(outage_s: float) -> None:
    """Guards against expiring entries because none could append records."""
    stream = Stream()
    both = {"e1": {"a": 900}, "e2": {"b": 100}}
    stream.minutes(12, **both)
    before = stream.fold().in_force
    stream.now += outage_s
    stream.minutes(3, **both)
    assert stream.fold().in_force == before
    # One entry appends no record in the first interval after the outage.
    stream.now += outage_s
    stream.minutes(1, e2={"b": 100})
    assert stream.fold().in_force == before


def test_demand_moves_to_many_small_models() -> None:
    """Guards against a division by zero.

    It happens if none of the new models has changed enough by itself.
    """
    stream = Stream()
    stream.minutes(20, e1={"a": 900})
    small = {f"m{number:03}": 10 for number in range(100)}
    stream.minutes(120, e1=small)
    assert set(stream.fold().in_force) == set(small)


def test_duplicate_record_counts_once() -> None:
    """Guards against counting a record twice after a lost append response."""
    stream, duplicated = Stream(), Stream()
    for minute in range(20):
        tokens = {"a": 100 * minute + 1, "b": 500}
        for target in (stream, duplicated):
            target.minutes(1, e1=tokens)
        duplicated.add(
            duplicated.records[-1].record_id, duplicated.records[-1].data
        )
    assert duplicated.fold().in_force == stream.fold().in_force


def test_restarted_entry_replaces_its_last_incarnation() -> None:
    """Guards against counting a restarted entry twice or not at all."""
    stream = Stream()
    stream.minutes(12, e1={"a": 900}, e2={"b": 900})
    for seq in range(1, 60):
        stream.now += demand.REPORT_INTERVAL_S
        data = encode(demand.DemandRecord(60.0, {"c": 900}))
        stream.add(f"e1/new/{seq}", data)
        stream.add(f"e2/i/{12 + seq}", encode(demand.DemandRecord(60.0, {})))
    assert demand_fraction(stream.fold(), "c") > 0.8


@pytest.mark.parametrize(
    ("record_id", "data"),
    [
        ("e1/i", '[60,{"a":1}]'),
        ("e1/i/x", '[60,{"a":1}]'),
        ("e1/i/²", '[60,{"a":1}]'),
        (f"e1/i/{'9' * 5_000}", '[60,{"a":1}]'),
        ("/i/1", '[60,{"a":1}]'),
        ("e1/i/99", ""),
        ("e1/i/99", "\ud800"),
        ("e1/i/99", '[0,{"a":1}]'),
        ("e1/i/99", '[1e400,{"a":1}]'),
        ("e1/i/99", '[60,{"a":-1}]'),
        ("e1/i/99", '[60,{"a":1e30}]'),
        ("e1/i/99", '[60,{"a":"1"}]'),
        ("e1/i/99", '{"span_s":60}'),
        ("e1/i/99", "[" * 10_000),
    ],
)
def test_malformed_record_is_counted_and_dropped(
    record_id: str, data: str
) -> None:
    """Guards against a record that crashes an agent or changes the demand."""
    stream = Stream()
    stream.minutes(12, e1={"a": 900, "b": 100})
    before = stream.fold()
    stream.add(record_id, data)
    after = stream.fold()
    assert (before.dropped, after.dropped) == (0, 1)
    assert after.in_force == before.in_force
    assert after.position == before.position + 1


def _random_stream(rng: random.Random, minutes: int) -> Stream:
    stream = Stream()
    for _ in range(minutes):
        writers = {
            f"e{number}": {
                model: rng.choice((0, 10, 1_000, 100_000)) for model in MODELS
            }
            for number in range(rng.randint(0, 4))
        }
        stream.minutes(1, **writers)
        stream.now += rng.choice((-300.0, 0.0, 0.0, 0.0, 2_000.0))
        if rng.random() < 0.1:
            stream.add("broken", "x")
    return stream


@hypothesis.given(st.integers(0, 2**32), st.integers(1, 120))
@hypothesis.settings(deadline=None)
def test_same_records_give_same_demand(seed: int, minutes: int) -> None:
    """Guards against results that depend on the size of the pages read."""
    rng = random.Random(seed)
    records = _random_stream(rng, minutes).records
    whole, pages = demand.DemandFold(), demand.DemandFold()
    whole.fold(records)
    start = 0
    while start < len(records):
        size = rng.randint(1, 9)
        # Pages overlap, as after a duplicate response to a read.
        pages.fold(records[max(0, start - 2) : start + size])
        start += size
    assert pages.in_force == whole.in_force
    assert list(pages.in_force.items()) == list(whole.in_force.items())


@hypothesis.given(st.integers(0, 2**32))
@hypothesis.settings(deadline=None, max_examples=40)
def test_late_starter_agrees_after_an_epoch(seed: int) -> None:
    """Guards against permanent differences because of expired records."""
    rng = random.Random(seed)
    stream = _random_stream(rng, 200)
    late = demand.DemandFold()
    late.fold(stream.records[len(stream.records) // 2 :])
    whole = stream.fold()
    tail = Stream()
    tail.now = NEXT_EPOCHS
    tail.minutes(12, e1={"a": rng.randint(1, 9), "b": rng.randint(1, 9)})
    offset = stream.records[-1].offset if stream.records else 0
    shifted = [r._replace(offset=r.offset + offset) for r in tail.records]
    whole.fold(shifted)
    late.fold(shifted)
    assert late.in_force == whole.in_force


@hypothesis.given(st.integers(0, 2**32), st.integers(8, 60))
@hypothesis.settings(deadline=None)
def test_reassignments_are_bounded_by_the_change_of_quota(
    seed: int, count: int
) -> None:
    """Guards against a shift of demand that reloads the whole fleet.

    An additional engine for one model causes a chain of reassignments that
    involves each model once on average, hence the factor.
    """
    rng = random.Random(seed)
    spec = config_state.ConfigState(
        models={m: config_state.ModelSpec(m, "1", 1.0) for m in MODELS}
    )
    agents = [f"agent-{number}" for number in range(count)]
    old = {m: rng.uniform(1, 100) for m in MODELS}
    new = {m: rate * rng.uniform(0.5, 2) for m, rate in old.items()}
    before, after = (placement.assign(agents, spec, d) for d in (old, new))
    old_quotas, new_quotas = (
        placement.quotas(count, spec, d) for d in (old, new)
    )
    quota_change = sum(abs(old_quotas[m] - new_quotas[m]) for m in MODELS) // 2
    reassigned = sum(before[agent] != after[agent] for agent in agents)
    assert quota_change <= reassigned <= quota_change * len(MODELS)
