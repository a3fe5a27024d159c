"""Service times of a model engine, by the cost model its service publishes.

All functions are pure. All times are in seconds on an engine of nominal speed.
"""

from apricottrestle.gateway import fleet_config


def prefill_s(model: fleet_config.EngineCostModel, tokens: float) -> float:
    """Returns the time to prefill a prompt on a single engine."""
    pairs = tokens * tokens / 2
    return tokens / model.prefill_tokens_per_s + pairs * model.prefill_pair_s


def prefill_part_s(
    model: fleet_config.EngineCostModel, tokens: float, engines: int
) -> float:
    """Returns the prefill time per engine of a prompt split over engines.

    Each chunk of a prompt costs a step of its own on an engine that decodes
    nothing meanwhile, as those that prefill long prompts do.
    """
    chunks_s = tokens / model.chunk_tokens * model.step_s
    return (prefill_s(model, tokens) + chunks_s) / engines


def decode_pass_s(
    model: fleet_config.EngineCostModel, batch_size: int, context_tokens: float
) -> float:
    """Returns the duration of a scheduling pass without prefill.

    Args:
        model: Cost model of the engine.
        batch_size: Number of decoding requests.
        context_tokens: Sum of the context lengths of these requests.
    """
    step = (
        model.step_s
        + batch_size * model.step_per_run_s
        + context_tokens * model.step_per_context_token_s
    )
    return model.steps_per_pass * step


def engine_s(
    model: fleet_config.EngineCostModel, tokens: float, output_tokens: float
) -> float:
    """Returns the part of an engine's time that a request uses.

    Prefills use the whole engine; a decoding request shares its passes with
    those in all other slots.
    """
    context_tokens = model.slots * (tokens + output_tokens / 2)
    return (
        prefill_s(model, tokens)
        + decode_s(model, output_tokens, model.slots, context_tokens)
        / model.slots
    )


def decode_s(
    model: fleet_config.EngineCostModel,
    output_tokens: float,
    batch_size: int,
    context_tokens: float,
) -> float:
    """Returns the time to decode an answer.

    Args:
        model: Cost model of the engine.
        output_tokens: Number of tokens of the answer.
        batch_size: Number of decoding requests, this one included.
        context_tokens: Sum of the context lengths of these requests.
    """
    passes = output_tokens / model.steps_per_pass
    return passes * decode_pass_s(model, batch_size, context_tokens)
