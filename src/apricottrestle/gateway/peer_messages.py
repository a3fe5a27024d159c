"""Messages between gateways, encoded with MessagePack.

Every message names its sender's incarnation and the version of the
configuration that it serves by, so that the one behind can ask the one ahead.
"""

from typing import Final

import msgspec

from apricottrestle import errors
from apricottrestle.gateway import (
    engine_claims,
    engine_load,
    fleet_config,
    upstream_list,
)


class Sender(msgspec.Struct, array_like=True, frozen=True):
    """Who sends, and what it knows.

    Attributes:
        instance_id: Its instance.
        address: "ip:port" of its peer socket.
        incarnation: Random id of the process.
        config_version: Configuration it serves by; -1 when it has none.
        stopping: Whether it is leaving.
        reaches_store: Whether the store answers it.
    """

    instance_id: str
    address: str
    incarnation: str
    config_version: int
    stopping: bool = False
    reaches_store: bool = False


class StartedRun(msgspec.Struct, array_like=True, frozen=True):
    """A run with the time since its start, in seconds."""

    run: engine_load.Run
    age_s: float


class Beat(msgspec.Struct, array_like=True, tag="beat", frozen=True):
    """A sign of life, with the changes of the sender's runs since the last.

    Attributes:
        sender: Who sends.
        started: Runs started.
        wrote: Ids of runs whose first event has arrived.
        ended: Ids of runs that ended.
        calls: Calls under way to each plain upstream that changed.
        paces: Engines that are slower than published, by the sender's events.
        claimed: Claims of waiting requests.
        released: Ids of claims that ended.
    """

    sender: Sender
    started: list[StartedRun] = []
    wrote: list[str] = []
    ended: list[str] = []
    calls: dict[str, int] = {}
    paces: dict[str, float] = {}
    claimed: list[engine_claims.Claim] = []
    released: list[str] = []


class Hello(msgspec.Struct, array_like=True, tag="hello", frozen=True):
    """Asks a gateway for its runs, and for what the sender lacks.

    Attributes:
        sender: Who sends; an older configuration is brought up to date.
        wants_lists: Whether it also needs upstreams and gateways.
    """

    sender: Sender
    wants_lists: bool = False


class Welcome(msgspec.Struct, array_like=True, tag="welcome", frozen=True):
    """What a gateway knows, for one that starts or has lost touch.

    Attributes:
        sender: Who sends.
        config: Its configuration when the asker's is older, else None.
        upstreams: Its upstream list, if asked for.
        gateways: Peer addresses of the gateways it knows, if asked for.
        started: Its own runs.
    """

    sender: Sender
    config: fleet_config.FleetConfig | None
    upstreams: list[upstream_list.UpstreamEntry]
    gateways: list[str]
    started: list[StartedRun]


class ConfigUpdate(msgspec.Struct, array_like=True, tag="config", frozen=True):
    """A configuration, for a peer that serves by an older one."""

    sender: Sender
    config: fleet_config.FleetConfig


class UpstreamUpdate(msgspec.Struct, array_like=True, tag="list", frozen=True):
    """Changes of the upstream list that the sender has read from the store.

    Attributes:
        sender: Who sends.
        since: Position from which they were read.
        position: Position up to which they were read.
        changes: Ids with entries; None for an entry that was removed.
    """

    sender: Sender
    since: int
    position: int
    changes: list[tuple[str, upstream_list.UpstreamEntry | None]]


Message = Beat | Hello | Welcome | ConfigUpdate | UpstreamUpdate

_DECODER: Final = msgspec.msgpack.Decoder(Message)
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Returns the encoded message."""
    return _ENCODER.encode(message)


def decode(frame: bytes) -> Message:
    """Decodes and validates a frame.

    Raises:
        ProtocolError: The frame is malformed.
    """
    try:
        return _DECODER.decode(frame)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.ProtocolError(
            f"malformed frame: {exc}", step="peer"
        ) from exc
