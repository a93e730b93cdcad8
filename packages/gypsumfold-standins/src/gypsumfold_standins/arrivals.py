"""Draws the requests of a load test: a pure function of profile and seed."""

import random
from typing import NamedTuple

from gypsumfold_standins import profiles
from gypsumfold_standins import tokens

# Prompt beginnings that requests of one kind share, and the share of a
# prompt that they make.
TEMPLATES = 12
SHARED = 0.5


class Arrival(NamedTuple):
    """One request to be sent.

    Attributes:
        at: Seconds from the start.
        kind: What is asked for.
        content: The prompt, or a call's body.
        output: Tokens of the answer.
        node: A number that picks the node, below one.
    """

    at: float
    kind: profiles.Kind
    content: str
    output: int
    node: float


def draw(
    profile: profiles.Profile,
    rate: float,
    seconds: float,
    swing: float,
    seed: int,
) -> list[Arrival]:
    """Draws Poisson arrivals whose mix swings between the profile's ends.

    Args:
        profile: The deployment's mix.
        rate: Requests a second.
        seconds: For how long.
        swing: Seconds that each end of the mix holds; 0 for an even mix.
        seed: The same one gives the same arrivals.

    Returns:
        In order of their times.
    """
    rng = random.Random(seed)
    found = []
    at = rng.expovariate(rate)
    while at < seconds:
        weights = mix(profile, at, swing)
        kind = rng.choices(profile.kinds, weights)[0]
        output = rng.randint(*kind.output)
        text = content(rng, kind, len(found), output)
        found.append(Arrival(at, kind, text, output, rng.random()))
        at += rng.expovariate(rate)
    return found


def mix(
    profile: profiles.Profile, at: float, swing: float
) -> tuple[float, ...]:
    """Gives the share of each kind at a time."""
    ends = (profile.prompt_heavy, profile.output_heavy)
    if not swing:
        return tuple(sum(pair) / 2 for pair in zip(*ends, strict=True))
    return ends[int(at / swing) % 2]


def content(
    rng: random.Random, kind: profiles.Kind, number: int, output: int
) -> str:
    """Makes a prompt that shares its beginning with others, or a body."""
    if kind.service == "plain":
        return f"{kind.name} {number} {rng.random()}"
    length = rng.randint(*kind.prompt) * tokens.TOKEN_CHARACTERS
    shared = f"{kind.name} template {rng.randrange(TEMPLATES)} "
    text = shared.ljust(int(length * SHARED), "s")
    text += f" request {number} {rng.random()} "
    return f"{text.ljust(length, 'r')} ({output} words)"
