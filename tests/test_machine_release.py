"""Stateful property test of the release stream under random faults.

The faults are concurrent operators, lost answers, outages, retention, restarts
and reordered updates. Guards against a process whose revision decreases or
whose state is not one of the stream's fold, and against a verdict to an
operator that differs from the fold's.
"""

from hypothesis import stateful
from hypothesis import strategies as st

from tests import fake_log, notes, release_fleet

_NAMES = ("e0", "e1", "a0", "a1")
_FAULTS = st.sampled_from(
    [
        "",
        fake_log.ANSWER_LOST,
        fake_log.STORED_LATE,
        fake_log.NOT_STORED,
        fake_log.RATE_LIMITED,
    ]
)


class ReleaseMachine(stateful.RuleBasedStateMachine):
    """State machine of two entries, two agents and the log."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = release_fleet.Fleet()
        release_fleet.publish_first(self.fleet)
        self.count = 0
        self.accepted: list[tuple[int, str]] = []
        self.rejected: list[str] = []

    def _next_note(self, lag: int) -> str:
        self.count += 1
        revisions = sorted(self.fleet.states_by_revision())
        base = revisions[max(0, len(revisions) - 1 - lag)]
        return notes.share_note(f"n{self.count}", base, self.count)

    @stateful.rule(
        lags=st.lists(st.integers(0, 1), min_size=1, max_size=3),
        faults=st.lists(_FAULTS, max_size=3),
    )
    def publish(self, lags: list[int], faults: list[str]) -> None:
        self.fleet.log.faults = list(faults)
        texts = [self._next_note(lag) for lag in lags]
        results = self.fleet.publish(*texts)
        self.fleet.log.faults.clear()
        for text, result in zip(texts, results, strict=True):
            if result.verdict == "accepted":
                self.accepted.append((result.offset, text))
            elif result.verdict == "rejected":
                self.rejected.append(text)

    @stateful.rule()
    def deliver_late_appends(self) -> None:
        self.fleet.log.store_late_appends()

    @stateful.rule(name=st.sampled_from(("e0", "e1")), page=st.integers(1, 9))
    def poll(self, name: str, page: int) -> None:
        self.fleet.log.max_records_per_read = page
        self.fleet.poll_log(name)

    @stateful.rule(name=st.sampled_from(_NAMES), peer=st.sampled_from(_NAMES))
    def request_update(self, name: str, peer: str) -> None:
        self.fleet.request_config(name, peer)

    @stateful.precondition(lambda self: self.fleet.in_flight)
    @stateful.rule(data=st.data(), keep=st.booleans())
    def deliver(self, data: st.DataObject, keep: bool) -> None:
        count = len(self.fleet.in_flight)
        index = data.draw(st.integers(0, count - 1))
        self.fleet.deliver_update(index, keep=keep)

    @stateful.rule(name=st.sampled_from(_NAMES))
    def restart(self, name: str) -> None:
        self.fleet.restart(name)

    @stateful.rule(name=st.sampled_from(_NAMES))
    def toggle_frozen(self, name: str) -> None:
        self.fleet.frozen ^= {name}

    @stateful.rule(down=st.booleans())
    def log_goes_down_or_up(self, down: bool) -> None:
        self.fleet.log.down = down

    @stateful.rule(hours=st.sampled_from([0.01, 0.2, 0.9]))
    def time_passes(self, hours: float) -> None:
        """Retention is two and a half hours."""
        self.fleet.log.now += hours * 3600
        for name in self.fleet.entries:
            self.fleet.poll_log(name)
        self.fleet.log.now += 30.0
        for name in self.fleet.entries:
            self.fleet.poll_log(name)
        self.fleet.expire_records()

    @stateful.invariant()
    def states_match_the_fold_and_never_revert(self) -> None:
        self.fleet.check_states()

    @stateful.invariant()
    def verdicts_agree_with_the_fold(self) -> None:
        states = self.fleet.states_by_revision()
        records = {rec.offset: rec for rec in self.fleet.log.notes()}
        for offset, text in self.accepted:
            assert records[offset].data == text
            assert offset in states
        in_force = {records[rev].data for rev in states if rev}
        for text in self.rejected:
            assert text not in in_force

    def teardown(self) -> None:
        self.fleet.recover()
        self.fleet.check_states()
        expected = max(sync.revision for sync in self.fleet.syncs.values())
        without_gap = [
            name
            for name in self.fleet.entries
            if not self.fleet.syncs[name].has_gap
        ]
        if without_gap:
            expected = max(self.fleet.states_by_revision())
        for name, sync in self.fleet.syncs.items():
            assert sync.revision == expected, name


TestReleaseMachine = ReleaseMachine.TestCase
