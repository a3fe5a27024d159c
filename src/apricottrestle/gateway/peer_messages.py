"""Messages between gateways, encoded with MessagePack.

Every message carries its sender's incarnation and configuration version. A
receiver with an older version requests the newer one from the sender.
"""

import typing
from typing import Final

import msgspec

from apricottrestle import decoding, errors
from apricottrestle.gateway import (
    crash_evidence,
    engine_claims,
    engine_load,
    evacuations,
    fleet_config,
    store,
    upstream_limits,
    upstream_list,
)


class Sender(msgspec.Struct, array_like=True, frozen=True):
    """Identity and state of the gateway that sent a message.

    Attributes:
        instance_id: Id of the sender's instance.
        address: "ip:port" of the sender's peer socket.
        incarnation: Random id of the sender's process.
        config_version: Version of the configuration in force at the sender; -1
            if there is none.
        stopping: Whether the sender is shutting down.
        reaches_store: Whether the sender's last call to the store was answered.
        ready: Whether the sender has a configuration and an upstream list and,
            if it is stopping, time left to accept requests.
        stop_order: Position in the sequence of stops; 0 if the sender isn't
            stopping.
        crash_digest: Hash of all crashes of engines that the sender knows.
        list_position: Position up to which the sender has read the upstream
            list, or None before the first read.
        config_history: Number of the store's history in which the configuration
            was read.
        config_offset: Offset of its record in that history.
        evacuation_digest: Hash of the evacuations that the sender knows, or
            None if it knows nothing of evacuations.
        known_gateways: Number of gateways that the sender has read from the
            store or heard recently; 0 before it has read them.
    """

    instance_id: str
    address: str
    incarnation: str
    config_version: int
    stopping: bool = False
    reaches_store: bool = False
    ready: bool = False
    stop_order: int = 0
    crash_digest: int = 0
    list_position: store.Position | None = None
    config_history: int = 0
    config_offset: int = 0
    evacuation_digest: int | None = None
    known_gateways: int = 0

    @property
    def config_stamp(self) -> fleet_config.ConfigStamp:
        """Stamp of the configuration in force at the sender."""
        return fleet_config.ConfigStamp(
            self.config_version, self.config_history, self.config_offset
        )


class StartedRun(msgspec.Struct, array_like=True, frozen=True):
    """A run of the sender.

    Attributes:
        run: The run.
        age_s: Time since its start in seconds.
    """

    run: engine_load.Run
    age_s: float


class Heartbeat(msgspec.Struct, array_like=True, tag="beat", frozen=True):
    """Shows that the sender is alive, and reports what has changed.

    Runs, calls and claims are the changes since the sender's last heartbeat.

    Attributes:
        sender: The sender.
        started: Runs that started.
        first_events: Ids of runs whose first event has arrived.
        ended: Ids of runs that ended.
        calls: Number of open calls to each plain upstream where it changed.
        slowdowns: Factors by which engines are slower than published, as the
            sender measured them recently on its own streams.
        claimed: Claims on engines by waiting requests.
        released: Ids of claims that ended.
        crashes: Crashes of engines of which the sender has learned more.
        limits: Limits of upstreams that changed, with the sender's requests to
            those upstreams; at times all.
        evacuation_report: All evacuations that the sender knows, if it has
            read new ones from the store.
    """

    sender: Sender
    started: list[StartedRun] = []
    first_events: list[str] = []
    ended: list[str] = []
    calls: dict[str, int] = {}
    slowdowns: dict[str, float] = {}
    claimed: list[engine_claims.Claim] = []
    released: list[str] = []
    crashes: list[crash_evidence.CrashReport] = []
    limits: list[upstream_limits.LimitReport] = []
    evacuation_report: evacuations.Report | None = None


class Hello(msgspec.Struct, array_like=True, tag="hello", frozen=True):
    """Requests a gateway's runs, and its configuration if that is newer.

    Attributes:
        sender: The sender.
        wants_lists: Whether to send the upstream list and the known gateways,
            too.
    """

    sender: Sender
    wants_lists: bool = False


class Welcome(msgspec.Struct, array_like=True, tag="welcome", frozen=True):
    """State of the sender, for a gateway that is new or was disconnected.

    Attributes:
        sender: The sender.
        config: The sender's configuration if the receiver's is older, else
            None.
        upstreams: The sender's upstream list if requested, else empty.
        gateways: Peer addresses of the gateways that the sender counts as
            alive if requested, else empty.
        started: All runs of the sender.
        crashes: All crashes of engines that the sender knows, if the receiver
            knows others or none.
        limits: All limits of upstreams that the sender knows.
        lapsed: Ids of the upstreams whose entry has lapsed.
        evacuation_report: All evacuations that the sender knows, if the
            receiver knows others or none.
    """

    sender: Sender
    config: fleet_config.FleetConfig | None
    upstreams: list[upstream_list.UpstreamEntry]
    gateways: list[str]
    started: list[StartedRun]
    crashes: list[crash_evidence.CrashReport] = []
    limits: list[upstream_limits.LimitReport] = []
    lapsed: list[str] = []
    evacuation_report: evacuations.Report | None = None


class ConfigUpdate(msgspec.Struct, array_like=True, tag="config", frozen=True):
    """A new configuration that a gateway has read from the store.

    Attributes:
        sender: The gateway that sent or relayed it.
        config: The configuration.
        relay_to: Addresses of the gateways that the receiver relays it to.
    """

    sender: Sender
    config: fleet_config.FleetConfig
    relay_to: list[str] = []


class UpstreamUpdate(msgspec.Struct, array_like=True, tag="list", frozen=True):
    """Changes of the upstream list that the sender has read from the store.

    Attributes:
        sender: The sender.
        since: Position after which the changes were read.
        position: Position up to which the changes were read; in another
            history, the changes are the difference between the two lists.
        changes: Upstream ids with their new entries; None for a removed entry.
    """

    sender: Sender
    since: store.Position
    position: store.Position
    changes: list[tuple[str, upstream_list.UpstreamEntry | None]]


Message = Heartbeat | Hello | Welcome | ConfigUpdate | UpstreamUpdate

_DECODER: Final = msgspec.msgpack.Decoder(Message)
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Returns the encoded message.

    A configuration that names no regions is encoded as earlier builds do, which
    decode no other. They couldn't keep to regions either.
    """
    if isinstance(message, Welcome | ConfigUpdate) and message.config:
        message = msgspec.structs.replace(
            message, config=_without_empty_regions(message.config)
        )
    return _ENCODER.encode(message)


def _without_empty_regions(
    config: fleet_config.FleetConfig,
) -> fleet_config.FleetConfig:
    """Returns a configuration whose routes and teams may lack their regions.

    It must be encoded only: these are tuples without the last field.
    """
    teams = config.teams_by_key
    owners: list[fleet_config.Route | fleet_config.Team] = [
        *config.routes,
        *(teams or {}).values(),
    ]
    if any(owner.allowed_regions for owner in owners):
        return config
    return config._replace(
        routes=tuple(
            typing.cast(fleet_config.Route, route[:-1])
            for route in config.routes
        ),
        teams_by_key=None
        if teams is None
        else {
            key: typing.cast(fleet_config.Team, team[:-1])
            for key, team in teams.items()
        },
    )


def decode(frame: bytes) -> Message:
    """Decodes and validates a frame.

    Raises:
        ProtocolError: The frame is malformed.
    """
    try:
        return _DECODER.decode(frame)
    except decoding.DECODE_ERRORS as exc:
        raise errors.ProtocolError(
            f"malformed frame: {exc}", step="peer"
        ) from exc
