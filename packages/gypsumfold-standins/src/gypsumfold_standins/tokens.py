"""The exact answers of the stand-ins, as pure functions of the request."""

import re
from typing import Any

import msgspec
import xxhash

# The shortest answer, and how many lengths there are from there on.
SHORTEST = 12
LENGTHS = 52
# Characters of a prompt that are counted as one token.
TOKEN_CHARACTERS = 4
# Characters in one block of the prefix cache: 64 tokens.
BLOCK = 256

# Some are outside of ASCII, so that a wrongly split byte shows.
SYLLABLES = (
    "ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru",
    "sa", "te", "vi", "wo", "zu", "é", "ñ", "ß", "漢", "…",
)  # fmt: skip

# How a prompt asks for a length.
WORDS = re.compile(r"\((\d+) words\)$")

Messages = list[dict[str, Any]]


def seed(model: str, messages: Messages) -> int:
    """Hashes a request; roles and contents count, the order of keys not."""
    pairs = [(m.get("role", ""), m.get("content", "")) for m in messages]
    return xxhash.xxh64_intdigest(msgspec.json.encode((model, pairs)))


def token(start: int, index: int) -> str:
    """Gives one token of an answer, from its request's `seed`."""
    digest = xxhash.xxh64_intdigest(f"{start}:{index}".encode())
    first = SYLLABLES[digest % len(SYLLABLES)]
    second = SYLLABLES[(digest >> 16) % len(SYLLABLES)]
    return f"{first}{second} "


def natural_length(start: int, messages: Messages) -> int:
    """Gives the tokens after which an answer stops by itself.

    A prompt that ends in, say, "(400 words)" is answered with 400 tokens.
    """
    wanted = WORDS.search(str(messages[-1].get("content", "")))
    if wanted:
        return max(int(wanted[1]), 1)
    digest = xxhash.xxh64_intdigest(f"{start}:length".encode())
    return SHORTEST + digest % LENGTHS


def length(start: int, messages: Messages, max_tokens: int) -> tuple[int, str]:
    """Gives an answer's length in tokens and its finish reason."""
    natural = natural_length(start, messages)
    if natural <= max_tokens:
        return natural, "stop"
    return max_tokens, "length"


def answer(model: str, messages: Messages, max_tokens: int) -> list[str]:
    """Gives the tokens of the whole answer to a request.

    Args:
        model: As the engine is asked.
        messages: As the engine is asked.
        max_tokens: Of the whole answer.

    Returns:
        The tokens; the answer is their concatenation.
    """
    start = seed(model, messages)
    count, _ = length(start, messages, max_tokens)
    return [token(start, index) for index in range(count)]


def text(model: str, messages: Messages) -> str:
    """Gives the prompt's text, as prefixes are counted in it."""
    parts = [model]
    for message in messages:
        parts += [str(message.get("role", "")), str(message.get("content"))]
    return "\0".join(parts)


def prompt_tokens(model: str, messages: Messages) -> int:
    """Counts the tokens of a prompt."""
    return len(text(model, messages)) // TOKEN_CHARACTERS + 1


def prefixes(model: str, messages: Messages) -> list[int]:
    """Hashes the prompt up to the end of each whole block, in order."""
    prompt = text(model, messages)
    digest = xxhash.xxh64()
    found = []
    for end in range(BLOCK, len(prompt) + 1, BLOCK):
        digest.update(prompt[end - BLOCK : end].encode())
        found.append(digest.intdigest() >> 1)
    return found


def call_answer(name: str, body: bytes) -> bytes:
    """Gives the exact answer of a plain service to a call."""
    return f"{name} {xxhash.xxh64_hexdigest(body)} {len(body)}\n".encode()
