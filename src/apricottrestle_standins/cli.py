"""Command line of the stand-ins: `apricottrestle-standin KIND --port ...`.

Every setting of a stand-in is an option. The process prints the line
`listening on PORT` once it accepts connections, and exits on SIGTERM or SIGINT.
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


class _StandinType(NamedTuple):
    """A type of stand-in: the type of its settings and its start function."""

    settings_type: type[msgspec.Struct]
    start: Callable[[Any, str, int], Awaitable[int]]


async def _start_relay(
    settings: tcp_relay.RelaySettings, host: str, port: int
) -> int:
    relay = tcp_relay.Relay(settings)
    bound = await relay.start(host, port)
    print(f"faults on {relay.faults_port}", flush=True)
    return bound


def _make_http_start(
    make: Callable[[Any], Any],
) -> Callable[[Any, str, int], Awaitable[int]]:
    """Returns the start function of a stand-in that serves HTTP."""

    async def start(settings: Any, host: str, port: int) -> int:
        bound: int = make(settings).start(host, port)
        return bound

    return start


_STANDIN_TYPES: Final = {
    "engine": _StandinType(
        engine_core.EngineSettings, _make_http_start(engine.Engine)
    ),
    "service": _StandinType(
        service.ServiceSettings, _make_http_start(service.Service)
    ),
    "log": _StandinType(
        log_service.LogSettings, _make_http_start(log_service.Log)
    ),
    "weights": _StandinType(
        weight_store.WeightSettings, _make_http_start(weight_store.WeightStore)
    ),
    "instances": _StandinType(
        instance_list.InstanceSettings,
        _make_http_start(instance_list.InstanceList),
    ),
    "relay": _StandinType(tcp_relay.RelaySettings, _start_relay),
}


def _add_option(
    parser: argparse.ArgumentParser, field: msgspec.structs.FieldInfo
) -> None:
    flag = "--" + field.name.replace("_", "-")
    option_type: Any = field.type
    if option_type is bool:
        parser.add_argument(
            flag, action=argparse.BooleanOptionalAction, default=field.default
        )
    else:
        parser.add_argument(flag, type=option_type, default=field.default)


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser, which has a subcommand for each type of stand-in."""
    parser = argparse.ArgumentParser(prog="apricottrestle-standin")
    commands = parser.add_subparsers(dest="kind", required=True)
    for name, standin_type in _STANDIN_TYPES.items():
        command = commands.add_parser(name)
        command.add_argument("--host", default="127.0.0.1")
        command.add_argument("--port", type=int, default=0)
        for field in msgspec.structs.fields(standin_type.settings_type):
            _add_option(command, field)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Runs a stand-in until SIGTERM or SIGINT arrives."""
    options = vars(make_parser().parse_args(argv))
    standin_type = _STANDIN_TYPES[options.pop("kind")]
    host, port = options.pop("host"), options.pop("port")
    settings = standin_type.settings_type(**options)

    async def start() -> int:
        return await standin_type.start(settings, host, port)

    asyncio.run(web.run_until_signal(start))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
