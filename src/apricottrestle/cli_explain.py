"""Command `explain`: asks a gateway where a request would go, and why."""

import argparse
import asyncio
from typing import Any, Final

import msgspec

from apricottrestle import cli_output, platform_http, route_query

_TIMEOUT_S: Final = 3.0
_PEER: Final = "gateway"


def add_parser(commands: Any) -> None:
    """Adds the command to argparse's subparsers."""
    parser = commands.add_parser(
        "explain", help="explain where a request would go, without sending it"
    )
    parser.add_argument(
        "--ops",
        required=True,
        metavar="IP:PORT",
        help="a gateway's ops address",
    )
    parser.add_argument("--host", required=True, help="Host header")
    parser.add_argument("--path", required=True)
    parser.add_argument("--key", help="API key")
    parser.add_argument("--prompt-tokens", type=int, metavar="N")
    parser.add_argument("--output-tokens", type=int, default=0, metavar="N")
    parser.add_argument("--json", action="store_true", help="write JSON")
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> int:
    query = route_query.Query(
        args.host,
        args.path,
        args.key,
        args.prompt_tokens,
        args.output_tokens,
    )
    answer = asyncio.run(_ask(args.ops, query))
    cli_output.print_result(dict(answer), _describe(answer), as_json=args.json)
    return cli_output.EXIT_OK


async def _ask(
    address: str, query: route_query.Query
) -> route_query.Explanation:
    client = platform_http.PlatformHttpClient(
        f"http://{address}", _PEER, _TIMEOUT_S
    )
    try:
        body = await client.call(
            "POST",
            route_query.PATH,
            "explain",
            body=msgspec.json.encode(query),
        )
    finally:
        client.close()
    return platform_http.decode_response(
        body, route_query.Explanation, "explain", _PEER
    )


def _describe(answer: route_query.Explanation) -> list[str]:
    lines = [_describe_outcome(answer)]
    if answer["route"]:
        lines.append(
            f"route {answer['route']}, service {answer['service']}, team"
            f" {answer['team'] or 'none'}, priority {answer['priority']},"
            f" configuration {answer['config_version']}"
        )
    for row in answer["upstreams"]:
        state = row["excluded"] or "candidate"
        if row["excluded"] and row["wait_s"]:
            state += f" for {row['wait_s']:.3f} s"
        if row["first_event_s"] is not None:
            state += f", first event after {row['first_event_s']:.3f} s"
        lines.append(
            f"  {row['upstream']} in {row['data_centre']},"
            f" {row['running']} running: {state}"
        )
    return lines


def _describe_outcome(answer: route_query.Explanation) -> str:
    wait = answer["wait_s"]
    after = f", after {wait:.3f} s" if wait else ""
    if answer["outcome"] == "refuse":
        return f"refused with {answer['status']}: {answer['reason']}"
    if answer["outcome"] == "wait":
        return f"waits: {answer['reason']}{after}"
    helpers = "".join(f", {helper}" for helper in answer["helpers"])
    late = "" if answer["on_time"] else " (late)"
    return f"goes to {answer['chosen']}{helpers}{after}{late}"
