"""Settings of a daemon: a TOML file, validated completely before startup.

Invariant: all problems of a file are reported at once, each with file, key,
found and expected value. A daemon never starts with an invalid file.
"""

import ipaddress
import math
import pathlib
import re
import tomllib
from collections.abc import Callable, Mapping
from typing import Any, Final, Literal, NamedTuple
from urllib import parse as urllib_parse

from apricottrestle import errors, memory_account, transport

UpstreamKind = Literal["engine", "service"]

_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_Z85_KEY: Final = re.compile(r"[0-9A-Za-z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}")
_MIN_SECRET_BYTES: Final = 16
_MISSING: Final = object()


class PlatformSettings(NamedTuple):
    """Addresses of the platform's services.

    Attributes:
        log: Base URL of the log.
        weights: Base URL of the weight store.
        instances: Base URL of the instance list.
        log_retention_s: Retention period of the log, in seconds.
    """

    log: str
    weights: str
    instances: str
    log_retention_s: float


class EntrySettings(NamedTuple):
    """Settings of an entry.

    Attributes:
        instance_id: Id of this instance, unique in the fleet.
        data_centre: Data centre of this instance.
        data_centres: Data centres to use, nearest first; the first is its own.
        callers: "ip:port" of the caller API.
        ops: "ip:port" of health, readiness and metrics.
        fleet_key: CURVE key pair of the fleet.
        hmac_secret: Secret that authenticates issued idempotency keys.
        platform: Addresses of the platform's services.
        grace_s: Seconds that a drain gives running streams to finish.
        max_requests: Maximum number of open requests.
        audit_rows: Maximum number of audit rows kept while the log is down.
        memory_mb: Memory of the machine, in MB.
        max_fds: Descriptors that the process may open.
    """

    instance_id: str
    data_centre: str
    data_centres: tuple[str, ...]
    callers: str
    ops: str
    fleet_key: transport.FleetKey
    hmac_secret: bytes
    platform: PlatformSettings
    grace_s: float
    max_requests: int
    audit_rows: int
    memory_mb: int
    max_fds: int


class UpstreamSettings(NamedTuple):
    """The upstream that an agent serves.

    Attributes:
        kind: "engine" or "service".
        url: Base URL.
        service: Service name; empty for an engine, whose model the placement
            chooses.
        slots: Maximum number of requests that run concurrently.
        prefill_tokens_per_s: Prefill rate of an engine; 0 for a service.
    """

    kind: UpstreamKind
    url: str
    service: str
    slots: int
    prefill_tokens_per_s: float


class AgentSettings(NamedTuple):
    """Settings of an agent.

    Attributes:
        instance_id: Id of this instance, unique in the fleet.
        data_centre: Data centre of this instance.
        data_centres: Data centres to use, nearest first; the first is its own.
        control: "ip:port" of the control socket.
        bulk: "ip:port" of the bulk socket.
        ops: "ip:port" of health, readiness and metrics.
        fleet_key: CURVE key pair of the fleet.
        hmac_secret: Secret that authenticates issued idempotency keys.
        platform: Addresses of the platform's services.
        upstream: The upstream of this agent.
        grace_s: Seconds that a drain gives running requests to finish.
        max_queued: Maximum number of queued requests.
        audit_rows: Maximum number of audit rows kept while the log is down.
    """

    instance_id: str
    data_centre: str
    data_centres: tuple[str, ...]
    control: str
    bulk: str
    ops: str
    fleet_key: transport.FleetKey
    hmac_secret: bytes
    platform: PlatformSettings
    upstream: UpstreamSettings
    grace_s: float
    max_queued: int
    audit_rows: int


def load_entry(path: str) -> EntrySettings:
    """Loads and checks the settings file of an entry.

    Raises:
        SettingsError: With all problems of the file.
    """
    reader = _open_reader(path)
    cfg = EntrySettings(
        *_read_identity(reader),
        callers=reader.get_string("addresses.callers", _check_address),
        ops=reader.get_string("addresses.ops", _check_address),
        fleet_key=_read_fleet_key(reader),
        hmac_secret=_read_hmac_secret(reader),
        platform=_read_platform(reader),
        grace_s=reader.get_number("grace_s", 30.0, low=0.0, high=3600.0),
        max_requests=reader.get_count("limits.max_requests", 20_000),
        audit_rows=reader.get_count("limits.audit_rows", 50_000),
        memory_mb=reader.get_count(
            "limits.memory_mb", int(memory_account.DEFAULT_MEMORY_MB)
        ),
        max_fds=reader.get_count(
            "limits.max_fds", memory_account.DEFAULT_MAX_FDS
        ),
    )
    _check_data_centres(reader, cfg.data_centre, cfg.data_centres)
    _check_distinct(reader, "addresses.callers", "addresses.ops")
    reader.raise_problems()
    return cfg


def load_agent(path: str) -> AgentSettings:
    """Loads and checks the settings file of an agent.

    Raises:
        SettingsError: With all problems of the file.
    """
    reader = _open_reader(path)
    cfg = AgentSettings(
        *_read_identity(reader),
        control=reader.get_string("addresses.control", _check_address),
        bulk=reader.get_string("addresses.bulk", _check_address),
        ops=reader.get_string("addresses.ops", _check_address),
        fleet_key=_read_fleet_key(reader),
        hmac_secret=_read_hmac_secret(reader),
        platform=_read_platform(reader),
        upstream=_read_upstream(reader),
        grace_s=reader.get_number("grace_s", 30.0, low=0.0, high=3600.0),
        max_queued=reader.get_count("limits.max_queued", 4_096),
        audit_rows=reader.get_count("limits.audit_rows", 20_000),
    )
    _check_data_centres(reader, cfg.data_centre, cfg.data_centres)
    _check_distinct(
        reader, "addresses.control", "addresses.bulk", "addresses.ops"
    )
    reader.raise_problems()
    return cfg


def load(path: str) -> EntrySettings | AgentSettings:
    """Loads and checks a settings file of either daemon.

    Raises:
        SettingsError: With all problems of the file.
    """
    return load_agent(path) if role_of(path) == "agent" else load_entry(path)


def role_of(path: str) -> Literal["entry", "agent"]:
    """Returns the daemon that a settings file is for.

    Only the settings of agents have a table `upstream`.

    Raises:
        SettingsError: The file can't be read or isn't TOML.
    """
    return "agent" if "upstream" in _parse_file(path) else "entry"


StringCheck = Callable[[str], str]
"""Checks a string; returns the expected form if it is invalid, else ""."""


class _RedactedSecret:
    """Replaces a secret in messages; shows only its type and length."""

    def __init__(self, found: object) -> None:
        self._shown = type(found).__name__
        if isinstance(found, str):
            self._shown = f"{len(found)} characters (hidden)"

    def __repr__(self) -> str:
        return self._shown


class _SettingsReader:
    """Reads and validates the values of a file and collects the problems."""

    def __init__(self, path: str, tables: Mapping[str, Any]) -> None:
        self._path = path
        self._tables = tables
        self._known_keys: set[str] = set()
        self._problems: list[str] = []

    def add_problem(self, key: str, found: object, expected: str) -> None:
        shown = "nothing" if found is _MISSING else repr(found)
        self._problems.append(
            f"{self._path}: {key}: found {shown}, expected {expected}"
        )

    def get_value(self, key: str) -> Any:
        self._known_keys.add(key)
        node: Any = self._tables
        for part in key.split("."):
            if not isinstance(node, dict) or part not in node:
                return _MISSING
            node = node[part]
        return node

    def get_string(
        self, key: str, check: StringCheck, default: str | None = None
    ) -> str:
        found = self.get_value(key)
        if found is _MISSING and default is not None:
            return default
        if not isinstance(found, str):
            self.add_problem(key, found, check("") or "a string")
            return ""
        expected = check(found)
        if expected:
            self.add_problem(key, found, expected)
        return found

    def get_secret(
        self, key: str, is_valid: Callable[[str], bool], expected: str
    ) -> str:
        """Returns a secret; reports an invalid one without quoting it."""
        found = self.get_value(key)
        if isinstance(found, str) and is_valid(found):
            return found
        if found is not _MISSING:
            found = _RedactedSecret(found)
        self.add_problem(key, found, expected)
        return ""

    def get_number(
        self,
        key: str,
        default: float | None,
        *,
        low: float,
        high: float = math.inf,
    ) -> float:
        found = self.get_value(key)
        if found is _MISSING and default is not None:
            return default
        is_number = isinstance(found, int | float) and not isinstance(
            found, bool
        )
        if not is_number or not low <= found <= high or math.isinf(found):
            self.add_problem(key, found, f"a number from {low:g} to {high:g}")
            return low
        return float(found)

    def get_count(self, key: str, default: int) -> int:
        found = self.get_value(key)
        if found is _MISSING:
            return default
        if type(found) is not int or found < 1:
            self.add_problem(key, found, "an integer of at least 1")
            return default
        return found

    def get_names(self, key: str) -> tuple[str, ...]:
        found = self.get_value(key)
        is_valid = (
            isinstance(found, list)
            and bool(found)
            and all(
                isinstance(name, str) and not _check_name(name)
                for name in found
            )
        )
        if not is_valid:
            self.add_problem(key, found, "a list of one or more names")
            return ()
        return tuple(found)

    def raise_problems(self) -> None:
        """Adds unknown keys to the problems; raises if there are problems.

        Raises:
            SettingsError: With all problems.
        """
        for key, found in _list_leaf_keys("", self._tables):
            if key not in self._known_keys:
                self.add_problem(
                    key, found, f"no such key{self._suggest_key(key)}"
                )
        if self._problems:
            raise errors.SettingsError(self._problems)

    def _suggest_key(self, key: str) -> str:
        last = key.rpartition(".")[2]
        for known in sorted(self._known_keys):
            if known.rpartition(".")[2] == last:
                return f"; did you mean {known}?"
        return ""


def _open_reader(path: str) -> _SettingsReader:
    return _SettingsReader(path, _parse_file(path))


def _parse_file(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        problem = f"{path}: can't be read: {exc.strerror}"
    except UnicodeDecodeError:
        problem = f"{path}: found bytes that aren't UTF-8, expected TOML"
    except tomllib.TOMLDecodeError as exc:
        problem = f"{path}: found no valid TOML: {exc}"
    raise errors.SettingsError([problem])


def _list_leaf_keys(
    prefix: str, table: Mapping[str, Any]
) -> list[tuple[str, object]]:
    found: list[tuple[str, object]] = []
    for key, value in table.items():
        if isinstance(value, dict) and value:
            found.extend(_list_leaf_keys(f"{prefix}{key}.", value))
        else:
            is_secret = "secret" in key or prefix == "fleet."
            shown = _RedactedSecret(value) if is_secret else value
            found.append((prefix + key, shown))
    return found


def _check_name(text: str) -> str:
    if _NAME.fullmatch(text):
        return ""
    return "a name of 1 to 64 letters, digits, '.', '_', '-'"


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        is_valid = port.isascii() and port.isdigit() and 1 <= int(port) <= 65535
    except ValueError:
        is_valid = False
    return "" if is_valid else "'<numeric IP>:<port>'"


def _check_url(text: str) -> str:
    try:
        parts = urllib_parse.urlsplit(text)
        is_plain_http = parts.scheme == "http" and not parts.query
        is_valid = is_plain_http and not _check_address(
            f"{parts.hostname}:{parts.port}"
        )
    except ValueError:
        is_valid = False
    return "" if is_valid else "'http://<numeric IP>:<port>'"


def _check_kind(text: str) -> str:
    return "" if text in ("engine", "service") else "'engine' or 'service'"


def _read_identity(reader: _SettingsReader) -> tuple[str, str, tuple[str, ...]]:
    return (
        reader.get_string("instance_id", _check_name),
        reader.get_string("data_centre", _check_name),
        reader.get_names("data_centres"),
    )


def _read_fleet_key(reader: _SettingsReader) -> transport.FleetKey:
    return transport.FleetKey(
        _read_curve_key(reader, "fleet.public_key"),
        _read_curve_key(reader, "fleet.secret_key"),
    )


def _read_curve_key(reader: _SettingsReader, key: str) -> str:
    return reader.get_secret(
        key,
        lambda text: bool(_Z85_KEY.fullmatch(text)),
        "a CURVE key as 40 characters of Z85",
    )


def _read_hmac_secret(reader: _SettingsReader) -> bytes:
    text = reader.get_secret(
        "fleet.hmac_secret",
        _is_hex_secret,
        f"at least {_MIN_SECRET_BYTES} bytes in hexadecimal",
    )
    return bytes.fromhex(text)


def _is_hex_secret(text: str) -> bool:
    try:
        return len(bytes.fromhex(text)) >= _MIN_SECRET_BYTES
    except ValueError:
        return False


def _read_platform(reader: _SettingsReader) -> PlatformSettings:
    return PlatformSettings(
        log=reader.get_string("platform.log", _check_url),
        weights=reader.get_string("platform.weights", _check_url),
        instances=reader.get_string("platform.instances", _check_url),
        log_retention_s=reader.get_number(
            "platform.log_retention_s", None, low=60.0
        ),
    )


def _read_upstream(reader: _SettingsReader) -> UpstreamSettings:
    kind = reader.get_string("upstream.kind", _check_kind)
    service = reader.get_string("upstream.service", _check_name, default="")
    rate = reader.get_number("upstream.prefill_tokens_per_s", 0.0, low=0.0)
    if kind == "service" and not service:
        reader.add_problem(
            "upstream.service", _MISSING, "a name when kind is 'service'"
        )
    if kind == "engine" and service:
        reader.add_problem(
            "upstream.service", service, "no service when kind is 'engine'"
        )
    if kind == "engine" and rate == 0:
        reader.add_problem(
            "upstream.prefill_tokens_per_s",
            rate,
            "more than 0 when kind is 'engine'",
        )
    return UpstreamSettings(
        kind="service" if kind == "service" else "engine",
        url=reader.get_string("upstream.url", _check_url),
        service=service,
        slots=reader.get_count("upstream.slots", 8),
        prefill_tokens_per_s=rate,
    )


def _check_data_centres(
    reader: _SettingsReader, own: str, data_centres: tuple[str, ...]
) -> None:
    if data_centres and own and data_centres[0] != own:
        reader.add_problem(
            "data_centres",
            list(data_centres),
            f"its own data centre {own!r} first",
        )
    if len(set(data_centres)) != len(data_centres):
        reader.add_problem("data_centres", list(data_centres), "each name once")


def _check_distinct(reader: _SettingsReader, *keys: str) -> None:
    seen: dict[object, str] = {}
    for key in keys:
        found = reader.get_value(key)
        if found is _MISSING:
            continue
        if found in seen:
            reader.add_problem(
                key, found, f"another address than that of {seen[found]}"
            )
        seen[found] = key
