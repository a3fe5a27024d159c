"""Issued idempotency keys: each binds a call to one agent incarnation.

Because a key names the only incarnation that may run it, no two processes can
run the same key, and no agreement between processes is needed. The fleet key
authenticates it, so a caller cannot forge a key that addresses another agent or
claims another log position.
"""

import hashlib
import hmac
from typing import Final, NamedTuple

from apricottrestle import errors

PREFIX: Final = "atk1"
_MAC_HEX_DIGITS: Final = 32
_FIELDS: Final = 8


class IssuedKey(NamedTuple):
    """Content of an issued key.

    Attributes:
        service: Service name.
        agent_id: Agent that issued the key and alone may run it.
        incarnation: Incarnation of that agent.
        seq: Sequence number within the incarnation, from 1.
        log_position: Offset of the agent's call stream at issue; intents of the
            key come after it.
        logged: True when the agent appends an intent before it runs the call.
    """

    service: str
    agent_id: str
    incarnation: str
    seq: int
    log_position: int
    logged: bool


def issue(key: IssuedKey, secret: bytes) -> str:
    """Returns the text form of a key, authenticated with the fleet's secret."""
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
    """Tells an issued key from one that a caller made up."""
    return text.startswith(PREFIX + "~")


def parse(text: str, secret: bytes) -> IssuedKey:
    """Checks and parses an issued key.

    Raises:
        RequestError: The key is malformed or was not issued by this fleet.
    """
    fields = text.split("~")
    body, _, mac = text.rpartition("~")
    valid = len(fields) == _FIELDS and hmac.compare_digest(
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
