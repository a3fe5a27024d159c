"""Instance list stand-in: rows that change late, and wrong rows."""

import time
from typing import Final, NamedTuple

import msgspec

from apricottrestle_standins import web


class InstanceSettings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Settings of the instance list; changes show after `lag_s`."""

    lag_s: float = 0.0


class Row(msgspec.Struct, kw_only=True):
    """An instance; addresses are "host:port", `state` live, leaving or gone."""

    id: str
    role: str
    data_centre: str
    control: str = ""
    bulk: str = ""
    http: str = ""
    state: str = "live"


class InstanceFaults(web.CommonFaults):
    """Faults of the list.

    Attributes:
        lag_s: Overrides the lag; 0 is off.
        wrong_rows: Rows that every answer carries, in place of the true row of
            the same id.
    """

    lag_s: float = 0.0
    wrong_rows: list[Row] = []


class Change(NamedTuple):
    """A version of a row; `put_s` is monotonic."""

    version: int
    put_s: float
    row: Row


class InstanceAnswer(msgspec.Struct):
    """Answer of `GET /instances`."""

    version: int
    rows: list[Row]


class InstanceList(web.Standin):
    """All changes in version order; the last one of an id holds."""

    def __init__(self, settings: InstanceSettings) -> None:
        """Starts empty at version 0."""
        super().__init__(InstanceFaults)
        self.settings = settings
        self._changes: list[Change] = []
        self._version = 0

    @property
    def list_faults(self) -> InstanceFaults:
        """The fault settings with the list's own fields."""
        assert isinstance(self.faults, InstanceFaults)
        return self.faults

    def put(self, row: Row, now: float) -> int:
        """Stores a row; returns the list's new version."""
        self._version += 1
        self._changes.append(Change(self._version, now, row))
        return self._version

    def rows_after(
        self, after: int, data_centre: str, now: float
    ) -> InstanceAnswer:
        """Returns the visible rows that changed after a version."""
        lag_s = self.list_faults.lag_s or self.settings.lag_s
        visible = [chg for chg in self._changes if chg.put_s + lag_s <= now]
        latest = {chg.row.id: chg.row for chg in visible if chg.version > after}
        latest.update({row.id: row for row in self.list_faults.wrong_rows})
        rows = [
            row
            for row in latest.values()
            if data_centre in ("", row.data_centre)
        ]
        version = visible[-1].version if visible else 0
        return InstanceAnswer(max(version, after), rows)

    def start(self, host: str, port: int) -> int:
        """Serves on the running event loop; returns the port."""
        self.server, bound = web.make_server(self, _ROUTES, host, port)
        return bound

    def stop(self) -> None:
        """Stops accepting connections."""
        self.server.stop()


class ListHandler(web.JsonHandler):
    """`GET /instances?after=V&data_centre=D`."""

    def get(self) -> None:
        """Answers with the changed rows."""
        assert isinstance(self.standin, InstanceList)
        after = self.int_argument("after", 0)
        data_centre = self.get_query_argument("data_centre", "")
        answer = self.standin.rows_after(after, data_centre, time.monotonic())
        self.reply(answer)


class RowHandler(web.JsonHandler):
    """`PUT /instances/<id>`."""

    def put(self, instance_id: str) -> None:
        """Stores a row."""
        assert isinstance(self.standin, InstanceList)
        row = self.read_json(Row)
        if row.id != instance_id:
            self.fail(400, f"row is of {row.id}, path of {instance_id}")
            return
        version = self.standin.put(row, time.monotonic())
        self.reply({"version": version})


_ROUTES: Final = [
    (r"/instances", ListHandler),
    (r"/instances/([^/]+)", RowHandler),
]
