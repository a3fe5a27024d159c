"""`make serve`: the demo's fleet, kept running until it is interrupted."""

import signal
import sys
import threading
from types import FrameType

from apricottrestle_standins import demo, fleet, notes


def main() -> int:
    """Starts the fleet, prints an entry's address and waits for the end."""
    stop = threading.Event()

    def on_signal(signum: int, frame: FrameType | None) -> None:
        del signum, frame
        stop.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    with fleet.Fleet(demo.DATA_CENTRES) as run:
        try:
            demo.start_fleet(run)
        except fleet.FleetError as exc:
            print(f"the fleet did not start: {exc}", file=sys.stderr)
            return 1
        urls = [node.url for node in run.nodes.values() if node.is_entry()]
        print(f"URL={urls[0]}")
        print(f"model {notes.MODEL}, service {notes.SERVICE}, Ctrl-C ends it")
        sys.stdout.flush()
        stop.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
