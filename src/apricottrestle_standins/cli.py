"""Command line of the stand-ins: `apricottrestle-standin KIND --port ...`.

Every setting of a stand-in is an option. The process prints one line
`listening on PORT` when it serves, and ends at SIGTERM or SIGINT.
"""

import argparse
import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, NamedTuple

import msgspec

from apricottrestle_standins import (
    engine,
    engine_core,
    instance_list,
    log_service,
    service,
    tcp_relay,
    web,
    weight_store,
)


class _Kind(NamedTuple):
    """A stand-in: its settings, and how to start it with them."""

    settings: type[msgspec.Struct]
    start: Callable[[Any, str, int], Awaitable[int]]


async def _start_relay(
    settings: tcp_relay.RelaySettings, host: str, port: int
) -> int:
    relay = tcp_relay.Relay(settings)
    bound = await relay.start(host, port)
    print(f"faults on {relay.faults_port}", flush=True)
    return bound


def _http(
    make: Callable[[Any], Any],
) -> Callable[[Any, str, int], Awaitable[int]]:
    """Returns the start function of a stand-in that is an HTTP server."""

    async def start(settings: Any, host: str, port: int) -> int:
        bound: int = make(settings).start(host, port)
        return bound

    return start


_KINDS: Final = {
    "engine": _Kind(engine_core.EngineSettings, _http(engine.Engine)),
    "service": _Kind(service.ServiceSettings, _http(service.Service)),
    "log": _Kind(log_service.LogSettings, _http(log_service.Log)),
    "weights": _Kind(
        weight_store.WeightSettings, _http(weight_store.WeightStore)
    ),
    "instances": _Kind(
        instance_list.InstanceSettings, _http(instance_list.InstanceList)
    ),
    "relay": _Kind(tcp_relay.RelaySettings, _start_relay),
}


def _add_option(
    parser: argparse.ArgumentParser, field: msgspec.structs.FieldInfo
) -> None:
    flag = "--" + field.name.replace("_", "-")
    kind: Any = field.type
    if kind is bool:
        parser.add_argument(
            flag, action=argparse.BooleanOptionalAction, default=field.default
        )
    else:
        parser.add_argument(flag, type=kind, default=field.default)


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser with one command for each stand-in."""
    parser = argparse.ArgumentParser(prog="apricottrestle-standin")
    commands = parser.add_subparsers(dest="kind", required=True)
    for name, kind in _KINDS.items():
        command = commands.add_parser(name)
        command.add_argument("--host", default="127.0.0.1")
        command.add_argument("--port", type=int, default=0)
        for field in msgspec.structs.fields(kind.settings):
            _add_option(command, field)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one stand-in until a signal ends it."""
    options = vars(make_parser().parse_args(argv))
    kind = _KINDS[options.pop("kind")]
    host, port = options.pop("host"), options.pop("port")
    settings = kind.settings(**options)

    async def start() -> int:
        return await kind.start(settings, host, port)

    asyncio.run(web.run_until_signal(start))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
