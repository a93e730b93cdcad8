"""How long an engine takes: continuous batching with chunked prefill.

One step of the engine gives one token to each sequence that decodes and
processes some prompt tokens of those that do not yet. Its time is

    BASE + PER_SEQUENCE * decoding + PER_PROMPT_TOKEN * prompt tokens

divided by the stand-in's speed and multiplied by its slow factor. The
figures are those of a mid-sized model on one accelerator as published
benchmarks of continuous batching show them (order of magnitude: 10 to 30 ms
between tokens, about 10,000 prompt tokens a second); they are no measurement
of the users' engines.
"""

from typing import NamedTuple

# Seconds of a step that has nothing to do: reading the weights once.
BASE = 0.010
# Seconds that each decoding sequence adds: reading its KV cache.
PER_SEQUENCE = 0.0003
# Seconds that each prompt token adds: arithmetic.
PER_PROMPT_TOKEN = 0.0001
# Seconds to move the KV cache of one prompt token to another engine.
PER_MOVED_TOKEN = 0.00001


class Shape(NamedTuple):
    """What a role allows in one step.

    Attributes:
        chunk: Most prompt tokens in a step.
        batch: Most sequences at once.
    """

    chunk: int
    batch: int


# A prefill engine takes long chunks and holds few sequences; a decode engine
# holds many and lets prompts disturb them little; mixed is between.
SHAPES = {
    "mixed": Shape(chunk=256, batch=32),
    "prefill": Shape(chunk=2048, batch=8),
    "decode": Shape(chunk=32, batch=64),
}


def step(decoding: int, prompt_tokens: int) -> float:
    """Gives the seconds of one step at speed 1."""
    return BASE + PER_SEQUENCE * decoding + PER_PROMPT_TOKEN * prompt_tokens


def prefill_rate(role: str) -> float:
    """Gives the prompt tokens a second of an idle engine at speed 1."""
    chunk = SHAPES[role].chunk
    return chunk / step(0, chunk)


def decode_rate() -> float:
    """Gives the output tokens a second of a lone sequence at speed 1."""
    return 1 / step(1, 0)
