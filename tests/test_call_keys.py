"""Guards against forged or altered idempotency keys."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricottrestle import call_keys, errors

_SECRET = b"fleet secret"
_KEY = call_keys.IssuedKey("roster", "agent-1", "9f2c", 17, 402, True)


def test_issued_key_round_trips() -> None:
    text = call_keys.issue(_KEY, _SECRET)
    assert call_keys.is_issued(text)
    assert call_keys.parse(text, _SECRET) == _KEY


@pytest.mark.parametrize(
    "change",
    [
        lambda text: text.replace("agent-1", "agent-2"),
        lambda text: text.replace("~402~", "~403~"),
        lambda text: text.replace("~1~", "~0~"),
        lambda text: text[:-1],
        lambda text: text + "~x",
        lambda text: "atk1~",
    ],
)
def test_altered_key_is_refused(change: object) -> None:
    assert callable(change)
    altered = change(call_keys.issue(_KEY, _SECRET))
    with pytest.raises(errors.RequestError) as info:
        call_keys.parse(altered, _SECRET)
    assert info.value.code == "invalid_idempotency_key"
    assert info.value.outcome == "not_run"


def test_key_of_another_fleet_is_refused() -> None:
    with pytest.raises(errors.RequestError):
        call_keys.parse(call_keys.issue(_KEY, b"other"), _SECRET)


@given(st.text())
def test_arbitrary_text_raises_request_error(text: str) -> None:
    with pytest.raises(errors.RequestError):
        call_keys.parse(text, _SECRET)
