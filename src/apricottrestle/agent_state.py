"""Small state objects of an agent: engine, orders, catch-up, drain, cache.

Times are monotonic seconds. Each object belongs to one system of the step.
"""

from apricottrestle import agent_events


class EngineState:
    """What the agent knows of its engine.

    `starts` holds time and prompt tokens of starts that `load` lacks.
    """

    def __init__(self) -> None:
        """Starts unknown."""
        self.load: agent_events.EngineLoad | None = None
        self.load_time = 0.0
        self.starts: list[tuple[float, int]] = []
        self.failures = 0
        self.config: agent_events.EngineConfig | None = None
        self.orphans: dict[str, float] = {}
        self.orphan_blocks = 0
        self.next_load = 0.0
        self.next_allocations = 0.0


class OrderState:
    """Progress of the engine's configuration."""

    def __init__(self) -> None:
        """Starts without an assigned model."""
        self.model = ""
        self.switching = False
        self.sent_at = -1e9
        self.next_read = 0.0
        self.not_before = 0.0
        self.permits: set[tuple[str, str]] = set()
        self.permit_at = 0.0


class CatchUpState:
    """Whether the configuration is known to be current.

    `pause` counts the pauses of this process, the start being the first. Until
    a peer or the log, asked after the last pause, has confirmed the
    configuration, the agent sends no orders.
    """

    def __init__(self, now: float) -> None:
        """Starts as after a pause."""
        self.pause = 0
        self.ever = False
        self.last_tick = now
        self.allowance = 0.0
        self.allowance_until = now
        self.restart(now)

    def restart(self, ask_at: float) -> None:
        """Makes earlier answers void; peers are asked from `ask_at` on."""
        self.pause += 1
        self.needed = True
        self.asked = False
        self.ask_at = ask_at


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
        self.after = 0
        self.seq = 0
        self.next_poll = 0.0
        self.next_summary = 0.0
        self.next_full = 0.0
        self.added: dict[int, None] = {}
        self.removed: dict[int, None] = {}
        self.reset = True
