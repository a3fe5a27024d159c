"""Issued idempotency keys, each of which binds a call to one agent incarnation.

A key names the only incarnation that may run its call. Two processes therefore
can't run the same key, and they need no agreement about it. A message
authentication code with the fleet's secret prevents a caller from forging a key
that names another agent or another log position.
"""

import hashlib
import hmac
from typing import Final, NamedTuple

from apricottrestle import errors

PREFIX: Final = "atk1"
_MAC_HEX_DIGITS: Final = 32
_FIELD_COUNT: Final = 8


class IssuedKey(NamedTuple):
    """Content of an issued key.

    Attributes:
        service: Service name.
        agent_id: Agent that issued the key, the only one that may run it.
        incarnation: Incarnation of that agent.
        seq: Sequence number within the incarnation, from 1.
        log_position: Offset of the agent's call stream when the key was issued;
            the key's intents have higher offsets.
        logged: True if the agent appends an intent before it runs the call.
    """

    service: str
    agent_id: str
    incarnation: str
    seq: int
    log_position: int
    logged: bool


def issue(key: IssuedKey, secret: bytes) -> str:
    """Encodes a key as text, with its authentication code.

    Args:
        key: The key.
        secret: Secret that all processes of the fleet share.
    """
    text = "~".join(
        (
            PREFIX,
            key.service,
            key.agent_id,
            key.incarnation,
            str(key.seq),
            str(key.log_position),
            "1" if key.logged else "0",
        )
    )
    return f"{text}~{_mac(text, secret)}"


def is_issued(text: str) -> bool:
    """Returns whether a key has the form of an issued one.

    Other keys were chosen by the caller.
    """
    return text.startswith(PREFIX + "~")


def parse(text: str, secret: bytes) -> IssuedKey:
    """Authenticates and decodes an issued key.

    Raises:
        RequestError: The key is malformed or was not issued by this fleet.
    """
    fields = text.split("~")
    body, _, mac = text.rpartition("~")
    valid = len(fields) == _FIELD_COUNT and hmac.compare_digest(
        mac.encode(), _mac(body, secret).encode()
    )
    if not valid:
        raise errors.RequestError(
            "the idempotency key was not issued by this fleet",
            status=400,
            code="invalid_idempotency_key",
            step="accept",
        )
    _, service, agent_id, incarnation, seq, position, logged, _ = fields
    return IssuedKey(
        service, agent_id, incarnation, int(seq), int(position), logged == "1"
    )


def _mac(text: str, secret: bytes) -> str:
    return hmac.new(secret, text.encode(), hashlib.sha256).hexdigest()[
        :_MAC_HEX_DIGITS
    ]
