"""Guards against messages that decode wrongly or raise unexpected errors."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricottrestle import errors, messages

_TOKENS = messages.Tokens("r1", 2, 40, [7, 8])


def _encode(msg: messages.Message, body: bytes = b"") -> list[bytes]:
    return messages.encode(
        msg, sender="e1", incarnation="i1", config_rev=5, body=body
    )


# msgpack carries integers of at most 64 bits.
st.register_type_strategy(int, st.integers(-(2**63), 2**64 - 1))


@pytest.mark.parametrize("kind", messages.Message.__args__)
def test_every_message_kind_round_trips(kind: type[messages.Message]) -> None:
    @given(st.from_type(kind), st.binary(max_size=64))
    def check(msg: messages.Message, body: bytes) -> None:
        received = messages.decode(_encode(msg, body), peer="p")
        assert received == messages.Received("e1", "i1", 5, msg, body)

    check()


def _envelope(proto: object, kind: str, payload: object) -> bytes:
    return msgspec.msgpack.encode([proto, kind, "e1", "i1", 5, payload])


@pytest.mark.parametrize(
    ("frames", "reason"),
    [
        ([], "0 frames"),
        ([b"a", b"b", b"c"], "3 frames"),
        ([b""], "malformed"),
        ([b"\xff\x00garbage"], "malformed"),
        ([_envelope(2, "Tokens", list(_TOKENS))], "protocol version 2"),
        ([_envelope("1", "Tokens", list(_TOKENS))], "malformed"),
        ([_envelope(1, "Nonsense", [])], "unknown message kind"),
        ([_envelope(1, "Tokens", ["r1", 2])], "malformed"),
        ([_envelope(1, "Tokens", ["r1", "2", 40, [7]])], "malformed"),
    ],
)
def test_malformed_frames_raise_protocol_error(
    frames: list[bytes], reason: str
) -> None:
    with pytest.raises(errors.ProtocolError, match=reason) as info:
        messages.decode(frames, peer="agent-1")
    assert info.value.step == "decode"
    assert info.value.peer == "agent-1"


@given(st.lists(st.binary(max_size=200), max_size=3))
def test_random_frames_raise_only_protocol_errors(frames: list[bytes]) -> None:
    with pytest.raises(errors.ProtocolError):
        messages.decode(frames, peer="p")
