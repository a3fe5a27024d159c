"""Tests of the outcome that the call stream proves if a key's agent is gone."""

import pytest

from apricottrestle import call_keys, call_log, errors

_KEY = call_keys.IssuedKey("roster", "agent-1", "inc1", 7, 10, True)
_INTENT = call_log.CallEntry(call_log.EntryKind.INTENT, "inc1~7")
_REFUSAL = call_log.CallEntry(call_log.EntryKind.REFUSAL, "inc1~7")
_COMPLETION = call_log.CallEntry(call_log.EntryKind.COMPLETION, "inc1~7", 201)
_OTHER_KEY = call_log.CallEntry(call_log.EntryKind.REFUSAL, "inc1~77")
_OTHER_INCARNATION = call_log.CallEntry(call_log.EntryKind.REFUSAL, "inc2~7")


def _records(
    batches: list[list[call_log.CallEntry]],
) -> list[call_log.CallRecord]:
    return [
        call_log.CallRecord(11 + index, call_log.encode(batch))
        for index, batch in enumerate(batches)
    ]


@pytest.mark.parametrize(
    ("batches", "first", "expected"),
    [
        ([[_INTENT], [_REFUSAL]], 1, ("unknown", 0, "intent_first")),
        (
            [[_INTENT], [_REFUSAL], [_COMPLETION]],
            1,
            ("completed", 201, "completion"),
        ),
        ([[_REFUSAL], [_INTENT]], 1, ("not_run", 0, "refusal_first")),
        (
            [[_OTHER_KEY, _OTHER_INCARNATION], [_INTENT]],
            1,
            ("unknown", 0, None),
        ),
        ([[_OTHER_KEY, _REFUSAL]], 11, ("not_run", 0, "refusal_first")),
        ([[_REFUSAL]], 12, ("unknown", 0, "past_retention")),
        ([], 1, ("unknown", 0, "no_record")),
    ],
)
def test_first_entry_of_a_key_decides_its_outcome(
    batches: list[list[call_log.CallEntry]],
    first: int,
    expected: tuple[str, int, str | None],
) -> None:
    got = call_log.key_outcome(_records(batches), _KEY, first)
    assert (got.outcome, got.status) == expected[:2]
    assert expected[2] in {None, got.reason}


def test_unlogged_key_is_never_proved_not_run() -> None:
    key = _KEY._replace(logged=False)
    got = call_log.key_outcome(_records([[_REFUSAL]]), key, 1)
    assert got.outcome == "unknown"


def test_refusals_after_an_offset_or_of_other_incarnations_are_ignored() -> (
    None
):
    records = _records(
        [[_OTHER_INCARNATION, _OTHER_KEY], [_INTENT], [_REFUSAL]]
    )
    assert call_log.refused_seqs_before(records, 12, "inc1") == {77}


def test_malformed_record_is_a_protocol_error() -> None:
    with pytest.raises(errors.ProtocolError):
        call_log.decode(call_log.CallRecord(3, '{"kind": 1}'))
