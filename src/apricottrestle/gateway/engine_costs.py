"""Time that a model engine needs, by the cost model its service publishes.

Pure functions. All times are seconds on an engine of nominal speed.
"""

from apricottrestle.gateway import fleet_config


def read_s(model: fleet_config.EngineModel, tokens: float) -> float:
    """Returns the time to read a prompt alone on one engine."""
    pairs = tokens * tokens / 2
    return tokens / model.read_tokens_per_s + pairs * model.read_pair_s


def part_s(
    model: fleet_config.EngineModel, tokens: float, engines: int
) -> float:
    """Returns the time of each engine's part of a prompt read together."""
    return read_s(model, tokens) / engines


def pass_s(
    model: fleet_config.EngineModel, writers: int, context_tokens: float
) -> float:
    """Returns the time of a pass that writes and reads nothing.

    Args:
        model: Cost model.
        writers: Requests that write.
        context_tokens: Sum of their contexts.
    """
    step = (
        model.step_s
        + writers * model.step_per_run_s
        + context_tokens * model.step_per_context_token_s
    )
    return model.stride_steps * step


def write_s(
    model: fleet_config.EngineModel,
    output_tokens: float,
    writers: int,
    context_tokens: float,
) -> float:
    """Returns the time to write an answer beside other writers."""
    passes = output_tokens / model.stride_steps
    return passes * pass_s(model, writers, context_tokens)
