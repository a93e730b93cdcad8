"""What the callers of the two deployments ask for, and how that shifts."""

from typing import NamedTuple


class Kind(NamedTuple):
    """One kind of request.

    Attributes:
        name: As declared.
        service: ``plain`` for calls, ``engine`` for completions.
        urgency: 0 is the most urgent.
        prompt: Fewest and most prompt tokens.
        output: Fewest and most output tokens.
        first: Seconds within which the first token (or a call's answer)
            is on time.
    """

    name: str
    service: str
    urgency: int
    prompt: tuple[int, int]
    output: tuple[int, int]
    first: float


class Profile(NamedTuple):
    """A deployment's mix, swinging between two ends.

    Attributes:
        model: That completions ask for.
        plain: The plain service's name.
        kinds: Of requests.
        prompt_heavy: Share of each kind at the end with long prompts.
        output_heavy: Share of each kind at the end with long outputs.
    """

    model: str
    plain: str
    kinds: tuple[Kind, ...]
    prompt_heavy: tuple[float, ...]
    output_heavy: tuple[float, ...]


# Sizes are guesses from the brief's descriptions: briefings read long
# schedules, swaps and lookups are short; a rework of a seating plan is long
# both ways, an office question short.
RAMP_TOWAGE = Profile(
    "dispatch-lm",
    "ramp",
    (
        Kind("briefing", "engine", 5, (600, 1500), (60, 120), 5.0),
        Kind("swap", "engine", 1, (60, 200), (12, 40), 1.5),
        Kind("handover", "engine", 6, (80, 200), (250, 450), 5.0),
        Kind("tug", "plain", 0, (0, 0), (0, 0), 0.5),
    ),
    (0.60, 0.20, 0.05, 0.15),
    (0.10, 0.25, 0.45, 0.20),
)
BIMAH = Profile(
    "gabbai-llm",
    "pew",
    (
        Kind("rework", "engine", 7, (300, 800), (250, 450), 20.0),
        Kind("question", "engine", 3, (60, 200), (20, 60), 2.0),
        Kind("import", "engine", 8, (1200, 2400), (20, 60), 20.0),
        Kind("hold", "plain", 0, (0, 0), (0, 0), 0.5),
    ),
    (0.15, 0.25, 0.30, 0.30),
    (0.45, 0.25, 0.02, 0.28),
)
PROFILES = {"ramp-towage": RAMP_TOWAGE, "bimah": BIMAH}
