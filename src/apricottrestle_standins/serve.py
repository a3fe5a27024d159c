"""`make serve`: runs the demo's fleet until it is interrupted."""

import signal
import sys
import threading
from types import FrameType

from apricottrestle_standins import demo, fleet, notes


def main() -> int:
    """Starts the fleet, prints an entry's URL and waits for a signal."""
    stop = threading.Event()

    def on_signal(signum: int, frame: FrameType | None) -> None:
        del signum, frame
        stop.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    with fleet.Fleet(demo.DATA_CENTRES) as local_fleet:
        try:
            demo.start_fleet(local_fleet)
        except fleet.FleetError as exc:
            print(f"the fleet failed to start: {exc}", file=sys.stderr)
            return 1
        urls = [
            node.url for node in local_fleet.nodes.values() if node.is_entry()
        ]
        print(f"URL={urls[0]}")
        print(f"model {notes.MODEL}, service {notes.SERVICE}; Ctrl-C to stop")
        sys.stdout.flush()
        stop.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
