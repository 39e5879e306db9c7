"""Small facts that all hosts should know, each with version and expiry."""

__all__ = ["Fact", "FactTable"]

import heapq
from typing import Any

import msgspec

from camphortray import errors
from camphortray import members

# Largest value of a fact; it travels to every host.
MAX_VALUE_BYTES = 4096
# Milliseconds by which a version may lie in the future. A host whose
# clock is far ahead would else pin a key for as long.
MAX_AHEAD_MS = 60_000


class Fact(msgspec.Struct, frozen=True):
    """A small fact for all hosts; the highest version of a key wins.

    Attributes:
      kind: e.g. ``"upstream-leaving"``.
      key: What it is about.
      version: Wall-clock milliseconds of its origin.
      value: Plain data.
      keep_s: Seconds after ``version`` at which it is forgotten.
    """

    kind: str
    key: str
    version: int
    value: Any
    keep_s: float = 60.0

    @property
    def name(self) -> str:
        """Kind and key as one text."""
        return f"{self.kind} {self.key}"

    @property
    def order(self) -> tuple[int, bytes]:
        """What decides between two; the value breaks a tie alike."""
        return self.version, msgspec.json.encode(self.value)

    @property
    def expires_ms(self) -> float:
        """When it is to be forgotten, in wall-clock milliseconds."""
        return self.version + self.keep_s * 1000

    def expired(self, wall_ms: int) -> bool:
        """Return whether it is to be forgotten."""
        return self.expires_ms <= wall_ms


class FactTable:
    """Facts as one host knows them.

    Attributes:
      facts: By kind and key, as one text.
      buckets: One digest each; see ``members.Directory``.
    """

    def __init__(self) -> None:
        self.facts: dict[str, Fact] = {}
        # When each version taken in expires, in wall-clock milliseconds.
        self.expiries: list[tuple[float, str]] = []
        self.buckets = [0] * members.BUCKETS

    def make(
        self, kind: str, key: str, value: Any, keep_s: float, wall_ms: int
    ) -> Fact:
        """Return a fact that is newer than what is held of its key.

        Raises:
          MessageError: its value is too large to travel to every host.
        """
        held = self.facts.get(f"{kind} {key}")
        version = max(wall_ms, held.version + 1) if held else wall_ms
        fact = Fact(kind, key, version, value, keep_s)
        if len(msgspec.json.encode(value)) > MAX_VALUE_BYTES:
            raise errors.MessageError("value too large", step="publish")
        return fact

    def take(self, fact: Fact, wall_ms: int) -> bool:
        """Hold a fact if it is newer; return whether it was."""
        held = self.facts.get(fact.name)
        if held is not None and held.order >= fact.order:
            return False
        if fact.expired(wall_ms) or fact.version > wall_ms + MAX_AHEAD_MS:
            return False
        if held is not None:
            self.toggle(held)
        self.facts[fact.name] = fact
        self.toggle(fact)
        heapq.heappush(self.expiries, (fact.expires_ms, fact.name))
        return True

    def toggle(self, fact: Fact) -> None:
        """Add a fact to its bucket's digest, or take it out."""
        digest = members.digest_of(fact.name, fact.version)
        self.buckets[members.bucket_of(fact.name)] ^= digest

    def prune(self, wall_ms: int) -> None:
        """Forget what has expired."""
        while self.expiries and self.expiries[0][0] <= wall_ms:
            _, name = heapq.heappop(self.expiries)
            fact = self.facts.get(name)
            # A later version may have taken its place.
            if fact is not None and fact.expired(wall_ms):
                self.toggle(fact)
                del self.facts[name]
