"""The platform's instance list: the addresses of entries and agents.

The list may be outdated or wrong.
"""

import abc
import urllib.parse
from typing import Final, Literal, NamedTuple

import msgspec

from apricottrestle import platform_http

Role = Literal["entry", "agent"]
InstanceState = Literal["live", "leaving", "gone"]

_PEER: Final = "instances"


class InstanceRow(NamedTuple):
    """An entry of the instance list: one process.

    Attributes:
        instance_id: Id from the process's settings.
        role: "entry" or "agent".
        data_centre: Data centre of the process.
        control: "ip:port" of an agent's control socket, else "".
        bulk: "ip:port" of an agent's bulk socket, else "".
        http: "ip:port" of an entry's caller API, or of an agent's health
            endpoint.
        state: "live", "leaving" or "gone".
    """

    instance_id: str
    role: Role
    data_centre: str
    control: str
    bulk: str
    http: str
    state: InstanceState = "live"


class InstanceChanges(NamedTuple):
    """Rows that changed since the requested version, and the new version."""

    version: int
    rows: list[InstanceRow]


class InstanceList(abc.ABC):
    """Interface to the instance list."""

    @abc.abstractmethod
    async def read_changes(
        self, after: int, data_centre: str
    ) -> InstanceChanges:
        """Returns the rows of a data centre that changed since a version.

        Args:
            after: Version of the last result, or 0 for all rows.
            data_centre: Data centre, or "" for all.

        Raises:
            PlatformError: The list is unreachable or its response is malformed.
        """

    @abc.abstractmethod
    async def register(self, row: InstanceRow) -> None:
        """Adds or replaces the row of an instance.

        Raises:
            PlatformError: The list is unreachable or rejected the row.
        """


class _Row(msgspec.Struct):
    id: str
    role: Role
    data_centre: str
    control: str
    bulk: str
    http: str
    state: InstanceState


class _ChangesResponse(msgspec.Struct):
    version: int
    rows: list[_Row]


class HttpInstanceList(InstanceList):
    """HTTP client of the instance list."""

    def __init__(self, url: str, *, timeout_s: float = 5.0) -> None:
        """Creates the client; `url` is "http://<ip>:<port>"."""
        self._http = platform_http.PlatformHttpClient(url, _PEER, timeout_s)

    async def read_changes(
        self, after: int, data_centre: str
    ) -> InstanceChanges:
        """See InstanceList.read_changes."""
        query = urllib.parse.urlencode(
            {"after": after, "data_centre": data_centre}
        )
        response = await self._http.call("GET", f"/instances?{query}", "list")
        decoded = platform_http.decode_response(
            response, _ChangesResponse, "list", _PEER
        )
        rows = [
            InstanceRow(*msgspec.structs.astuple(row)) for row in decoded.rows
        ]
        return InstanceChanges(decoded.version, rows)

    async def register(self, row: InstanceRow) -> None:
        """See InstanceList.register."""
        body = msgspec.json.encode(_Row(*row))
        instance_id = urllib.parse.quote(row.instance_id, safe="")
        await self._http.call(
            "PUT", f"/instances/{instance_id}", "register", body=body
        )

    def close(self) -> None:
        """Closes the client's connections."""
        self._http.close()
