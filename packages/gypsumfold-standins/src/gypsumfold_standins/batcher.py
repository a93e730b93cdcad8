"""The engine stand-in's continuous batching; the model: service_time.py."""

import asyncio
import os
import time
from typing import Any

from gypsumfold_standins import engine_faults
from gypsumfold_standins import prefix_cache
from gypsumfold_standins import service_time
from gypsumfold_standins import tokens

# Seconds; steps shorter than this are gathered into one sleep, since the
# event loop's timers have a resolution of a millisecond.
RESOLUTION = 0.002
# Exit code of a crash that a test asked for.
CRASH = 70


class Sequence:
    """One dispatch: its prompt, its tokens so far and what became of it.

    Attributes:
        state: ``waiting``, ``running``, ``done``, ``cancelled`` or ``cut``
            (by an order that came too early).
        left: Prompt tokens that still have to be processed.
    """

    def __init__(self, dispatch: dict[str, Any]):
        self.id: str = dispatch["id"]
        self.model: str = dispatch["model"]
        self.messages: tokens.Messages = dispatch["messages"]
        self.prior: list[str] = dispatch.get("prior", [])
        self.priority: int = dispatch.get("priority", 0)
        self.prefill_from: str = dispatch.get("prefill_from", "")
        self.seed = tokens.seed(self.model, self.messages)
        self.count, self.finish = tokens.length(
            self.seed, self.messages, dispatch["max_tokens"]
        )
        self.prompt = tokens.prompt_tokens(self.model, self.messages)
        self.left = self.prompt + len(self.prior)
        self.index = min(len(self.prior), self.count)
        self.arrival = time.time()
        self.start = 0.0
        self.first = 0.0
        self.end = 0.0
        self.state = "waiting"
        self.readers = 0
        self.moved = asyncio.Event()

    @property
    def size(self) -> int:
        """Tokens of KV cache that it may need."""
        return self.prompt + self.count

    @property
    def open(self) -> bool:
        """Whether it still waits or runs."""
        return self.state in ("waiting", "running")

    def advance(self) -> None:
        """Adds one token."""
        if not self.first:
            self.first = time.time()
        self.index += 1
        self.wake()

    def close(self, state: str) -> None:
        """Ends it."""
        self.state = state
        self.end = time.time()
        self.wake()

    def wake(self) -> None:
        """Wakes the readers."""
        self.moved.set()
        self.moved = asyncio.Event()

    def right_prior(self) -> bool:
        """Whether the prior tokens are the answer's own."""
        for index, word in enumerate(self.prior):
            if word != tokens.token(self.seed, index):
                return False
        return True

    def record(self) -> dict[str, Any]:
        """What tests are told about it."""
        return {
            "id": self.id,
            "model": self.model,
            "seed": self.seed,
            "priority": self.priority,
            "prior": len(self.prior),
            "right_prior": self.right_prior(),
            "prefill_from": self.prefill_from,
            "arrival": self.arrival,
            "start": self.start,
            "first": self.first,
            "end": self.end,
            "state": self.state,
            "tokens": self.index,
            "finish_reason": self.finish,
        }


class Batcher:
    """Runs sequences in steps, most urgent and oldest first.

    >>> batcher = Batcher(faults, cache, role="mixed", speed=1.0, kv=65536)
    >>> batcher.add(Sequence(dispatch))
    """

    def __init__(
        self,
        faults: engine_faults.Faults,
        cache: prefix_cache.PrefixCache,
        role: str,
        speed: float,
        kv: int,
    ):
        self.faults = faults
        self.cache = cache
        self.role = role
        self.speed = speed
        self.kv = kv
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.arrived = asyncio.Event()

    @property
    def shape(self) -> service_time.Shape:
        """What the role allows in a step."""
        return service_time.SHAPES[self.role]

    @property
    def kv_used(self) -> int:
        """Tokens of KV cache that are reserved."""
        return sum(sequence.size for sequence in self.running)

    def add(self, sequence: Sequence) -> None:
        """Takes a new sequence in."""
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda each: (each.priority, each.arrival))
        self.arrived.set()

    def stop(self, sequence: Sequence, state: str) -> None:
        """Ends a sequence before its end."""
        if not sequence.open:
            return
        sequence.close(state)
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        if sequence in self.running:
            self.running.remove(sequence)

    async def run(self) -> None:
        """Steps for as long as the engine runs."""
        due = time.monotonic()
        while True:
            self.fill()
            if not self.running or self.faults.stuck:
                self.arrived.clear()
                await self.rest()
                due = time.monotonic()
                continue
            due += self.step()
            ahead = due - time.monotonic()
            if ahead > RESOLUTION:
                await asyncio.sleep(ahead)
            else:
                await asyncio.sleep(0)
            if ahead < -1.0:
                due = time.monotonic()

    async def rest(self) -> None:
        """Waits for work, or for a stuck engine to be freed."""
        if self.faults.stuck:
            await asyncio.sleep(0.02)
            return
        await self.arrived.wait()

    def fill(self) -> None:
        """Moves waiting sequences into the batch while there is room."""
        while self.waiting and len(self.running) < self.shape.batch:
            sequence = self.waiting[0]
            alone = not self.running
            if self.kv_used + sequence.size > self.kv and not alone:
                return
            self.waiting.pop(0)
            self.begin(sequence)

    def begin(self, sequence: Sequence) -> None:
        """Puts a sequence into the batch, less what the cache holds."""
        now = time.time()
        sequence.state = "running"
        sequence.start = now
        prefixes = tokens.prefixes(sequence.model, sequence.messages)
        known = self.cache.use(prefixes, now)
        if sequence.left:
            sequence.left = max(sequence.left - known, 1)
        self.running.append(sequence)

    def step(self) -> float:
        """Does one step and gives its seconds."""
        decoding = [each for each in self.running if not each.left]
        prompts = [each for each in self.running if each.left]
        prompts.sort(key=lambda each: (each.priority, each.arrival))
        budget = self.shape.chunk
        for sequence in prompts:
            part = min(budget, sequence.left)
            sequence.left -= part
            budget -= part
            if not budget:
                break
        for sequence in decoding:
            self.decode(sequence)
        seconds = service_time.step(len(decoding), self.shape.chunk - budget)
        return seconds * self.faults.slow / self.speed

    def decode(self, sequence: Sequence) -> None:
        """Gives a sequence its next token and ends it after its last."""
        if sequence.index < sequence.count:
            sequence.advance()
        if self.faults.crash_at and sequence.index >= self.faults.at:
            os._exit(CRASH)
        if sequence.index >= sequence.count:
            self.running.remove(sequence)
            sequence.close("done")

    def load(self) -> dict[str, Any]:
        """The figures of the load report, as of now."""
        left = 0
        for sequence in self.running + self.waiting:
            left += sequence.left
        return {
            "taken": time.time(),
            "role": self.role,
            "running": len(self.running),
            "waiting": len(self.waiting),
            "prefill_tokens": left,
            "kv_used": min(self.kv_used / self.kv, 1.0),
            "batch": self.shape.batch,
            "prefill_rate": service_time.prefill_rate(self.role) * self.speed,
            "decode_rate": service_time.decode_rate() * self.speed,
        }
