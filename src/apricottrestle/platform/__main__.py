"""Runs a gateway on the users' platform: `python -m apricottrestle.platform`.

Exit codes: 0 after a requested stop, 2 for invalid settings.
"""

import os
import signal
import sys
from typing import NoReturn

# The imports take most of the start. A reload meanwhile must not end the
# process; the settings are read later anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from apricottrestle import errors, logs  # noqa: E402
from apricottrestle.gateway import daemon  # noqa: E402
from apricottrestle.platform import (  # noqa: E402
    caller_server,
    settings_file,
    store_client,
    upstream_client,
)

EXIT_INVALID_SETTINGS = 2


def main() -> int:
    """Reads the settings and runs the gateway."""
    store = store_client.StoreClient("")
    source = settings_file.SettingsSource(store.set_address)
    try:
        cfg = source.read()
    except errors.SettingsError as exc:
        sys.stderr.write(f"{exc}\n")
        return EXIT_INVALID_SETTINGS
    assert cfg is not None
    adapter = daemon.PlatformAdapter(
        store,
        upstream_client.HttpUpstreamClient,
        caller_server.CallerServer,
        caller_server.ReadyServer,
        source.read,
    )
    with logs.BackgroundLogWriter(sys.stdout):
        daemon.run(cfg, adapter)
    return 0


def _end(code: int) -> NoReturn:
    """Ends the process without the interpreter's teardown.

    The teardown collects and frees all objects: about 0.1 s of mostly processor
    time after the last answer, which grows when the machine is busy. It also
    aborts the process if the output still blocks the thread that writes the
    log. Nothing needs it: when `main` returns, the sockets are closed, and the
    log's lines are written unless their time has run out. An exception still
    ends the process the usual way.
    """
    sys.stderr.flush()
    os._exit(code)


if __name__ == "__main__":
    _end(main())
