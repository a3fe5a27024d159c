"""Instance list stand-in, with delayed changes and wrong rows as faults."""

import time
from typing import Final, NamedTuple

import msgspec

from apricottrestle_standins import web


class InstanceSettings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Settings of the instance list; a change is visible after `lag_s`."""

    lag_s: float = 0.0


class Row(msgspec.Struct, kw_only=True):
    """A listed instance.

    Addresses are "host:port"; `state` is "live", "leaving" or "gone".
    """

    id: str
    role: str
    data_centre: str
    control: str = ""
    bulk: str = ""
    http: str = ""
    state: str = "live"


class InstanceFaults(web.CommonFaults):
    """Faults of the instance list.

    Attributes:
        lag_s: Override of the lag; 0 is off.
        wrong_rows: Rows that every response contains, in place of the correct
            row of the same id.
    """

    lag_s: float = 0.0
    wrong_rows: list[Row] = []


class Change(NamedTuple):
    """A stored change of a row; `put_s` is its monotonic time."""

    version: int
    put_s: float
    row: Row


class InstancesResponse(msgspec.Struct):
    """Response of `GET /instances`."""

    version: int
    rows: list[Row]


class InstanceList(web.Standin):
    """All changes in version order; the last change of an id applies."""

    def __init__(self, settings: InstanceSettings) -> None:
        """Creates an empty list at version 0."""
        super().__init__(InstanceFaults)
        self.settings = settings
        self._changes: list[Change] = []
        self._version = 0

    @property
    def list_faults(self) -> InstanceFaults:
        """The fault settings, with their own type."""
        assert isinstance(self.faults, InstanceFaults)
        return self.faults

    def put(self, row: Row, now: float) -> int:
        """Stores a row; returns the new version of the list."""
        self._version += 1
        self._changes.append(Change(self._version, now, row))
        return self._version

    def rows_after(
        self, after: int, data_centre: str, now: float
    ) -> InstancesResponse:
        """Returns the visible rows that changed after a version."""
        lag_s = self.list_faults.lag_s or self.settings.lag_s
        visible = [
            change for change in self._changes if change.put_s + lag_s <= now
        ]
        latest = {
            change.row.id: change.row
            for change in visible
            if change.version > after
        }
        latest.update({row.id: row for row in self.list_faults.wrong_rows})
        rows = [
            row
            for row in latest.values()
            if data_centre in ("", row.data_centre)
        ]
        version = visible[-1].version if visible else 0
        return InstancesResponse(max(version, after), rows)

    def start(self, host: str, port: int) -> int:
        """Starts the HTTP server; returns the port."""
        self.server, bound = web.make_server(self, _ROUTES, host, port)
        return bound

    def stop(self) -> None:
        """Stops accepting connections."""
        self.server.stop()


class ListHandler(web.JsonHandler):
    """`GET /instances?after=V&data_centre=D`."""

    def get(self) -> None:
        """Returns the rows that have changed."""
        assert isinstance(self.standin, InstanceList)
        after = self.int_argument("after", 0)
        data_centre = self.get_query_argument("data_centre", "")
        response = self.standin.rows_after(after, data_centre, time.monotonic())
        self.reply(response)


class RowHandler(web.JsonHandler):
    """`PUT /instances/<id>`."""

    def put(self, instance_id: str) -> None:
        """Stores a row."""
        assert isinstance(self.standin, InstanceList)
        row = self.read_json(Row)
        if row.id != instance_id:
            self.fail(
                400, f"the row is for {row.id}, the path for {instance_id}"
            )
            return
        version = self.standin.put(row, time.monotonic())
        self.reply({"version": version})


_ROUTES: Final = [
    (r"/instances", ListHandler),
    (r"/instances/([^/]+)", RowHandler),
]
