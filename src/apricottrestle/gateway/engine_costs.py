"""Time that a model engine needs, by the cost model its service publishes.

Pure functions. All times are seconds on an engine of nominal speed.
"""

from apricottrestle.gateway import fleet_config


def prefill_s(model: fleet_config.EngineCostModel, tokens: float) -> float:
    """Returns the time to read a prompt alone on one engine."""
    pairs = tokens * tokens / 2
    return tokens / model.prefill_tokens_per_s + pairs * model.prefill_pair_s


def prefill_part_s(
    model: fleet_config.EngineCostModel, tokens: float, engines: int
) -> float:
    """Returns the time of each engine's part of a prompt read together."""
    return prefill_s(model, tokens) / engines


def decode_pass_s(
    model: fleet_config.EngineCostModel, batch_size: int, context_tokens: float
) -> float:
    """Returns the time of a pass that writes and reads nothing.

    Args:
        model: Cost model.
        batch_size: Requests that write.
        context_tokens: Sum of their contexts.
    """
    step = (
        model.step_s
        + batch_size * model.step_per_run_s
        + context_tokens * model.step_per_context_token_s
    )
    return model.steps_per_pass * step


def decode_s(
    model: fleet_config.EngineCostModel,
    output_tokens: float,
    batch_size: int,
    context_tokens: float,
) -> float:
    """Returns the time to write an answer beside other batch_size."""
    passes = output_tokens / model.steps_per_pass
    return passes * decode_pass_s(model, batch_size, context_tokens)
