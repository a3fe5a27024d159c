"""Small state objects of an agent: engine, orders, catch-up, drain, cache.

Times are monotonic seconds. Each object belongs to one system of the step.
"""

from apricottrestle import agent_events


class EngineState:
    """What the agent knows of its engine.

    `unreported_starts` holds time and prompt tokens of starts that `load`
    lacks.
    """

    def __init__(self) -> None:
        """Starts unknown."""
        self.load: agent_events.EngineLoad | None = None
        self.load_received_at = 0.0
        self.unreported_starts: list[tuple[float, int]] = []
        self.failed_polls = 0
        self.config: agent_events.EngineConfig | None = None
        self.orphans_since: dict[str, float] = {}
        self.orphan_blocks = 0
        self.next_load_poll_at = 0.0
        self.next_allocation_poll_at = 0.0


class OrderState:
    """Progress of the engine's configuration."""

    def __init__(self) -> None:
        """Starts without an assigned model."""
        self.assigned_model = ""
        self.switching_model = False
        self.sent_at = -1e9
        self.next_read_back_at = 0.0
        self.next_order_at = 0.0
        self.granted_permits: set[tuple[str, str]] = set()
        self.next_permit_at = 0.0


class CatchUpState:
    """Whether the configuration is known to be current.

    `pause_count` counts the pauses of this process, the start being the first.
    Until a peer or the log, asked after the last pause, has confirmed the
    configuration, the agent sends no orders.
    """

    def __init__(self, now: float) -> None:
        """Starts as after a pause."""
        self.pause_count = 0
        self.ever_confirmed = False
        self.last_tick_at = now
        self.pause_allowance_s = 0.0
        self.pause_allowance_until = now
        self.restart(now)

    def restart(self, ask_at: float) -> None:
        """Makes earlier answers void; peers are asked from `ask_at` on."""
        self.pause_count += 1
        self.needed = True
        self.requested = False
        self.next_request_at = ask_at


class DrainState:
    """Progress of a drain."""

    def __init__(self) -> None:
        """Starts as not draining."""
        self.active = False
        self.deadline = float("inf")
        self.exit_at = float("inf")
        self.exited = False


class CacheState:
    """Prefix blocks that the engine holds, as a hint, oldest first."""

    def __init__(self) -> None:
        """Starts empty."""
        self.blocks: dict[int, None] = {}
        self.last_event_seq = 0
        self.summary_seq = 0
        self.next_poll_at = 0.0
        self.next_summary_at = 0.0
        self.next_full_summary_at = 0.0
        self.added_blocks: dict[int, None] = {}
        self.removed_blocks: dict[int, None] = {}
        self.full_summary_due = True
