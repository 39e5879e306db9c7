"""Decides when to challenge, claim, answer for or release a stream.

While the owner lives nobody writes anything. Three rules keep hosts from
taking a stream back and forth:

- an owner taken for lost is challenged first, and any record of its
  epoch stands against the claim that would follow;
- a challenge that was answered is not repeated for a while: the owner
  reaches the log, only not us;
- hosts act one after the other, in the rendezvous order of the stream.
"""

__all__ = ["Policy", "Seen", "Sight", "Step", "Timing"]

from collections.abc import Callable
import dataclasses
import enum
from typing import Any

from camphortray import fold as folds
from camphortray import records


class Sight(enum.Enum):
    """How a host appears from here."""

    LIVE = "live"
    LOST = "does not answer"
    GONE = "gone by the platform's list too"


@dataclasses.dataclass(frozen=True)
class Timing:
    """Waits, in seconds.

    Attributes:
      patience_s: From a challenge read to the claim.
      stagger_s: For each host that comes first in rendezvous order.
      answered_s: From an answered challenge to the next.
      rebalance_s: For which another host must have come first before an
        owner hands over to it.
    """

    patience_s: float = 0.6
    stagger_s: float = 0.4
    answered_s: float = 10.0
    rebalance_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What a step looks at.

    Attributes:
      held: Ownership as folded.
      sight: How the owner appears, if there is one.
      rank: Gives this host's place in the rendezvous order of the live
        hosts, 0 for the first; asked only if needed, as it costs a hash
        for each host.
      draining: Whether this host is about to leave.
    """

    held: folds.Ownership
    sight: Sight
    rank: Callable[[], int]
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What to do now.

    Attributes:
      kind: Kind of the record to append, or empty.
      body: Its body.
      again_s: When to look again unless something changes, in seconds.
    """

    kind: str = ""
    body: dict[str, Any] = dataclasses.field(default_factory=dict)
    again_s: float = 60.0


NOTHING = Step()


class Policy:
    """One host's decisions about one stream.

    Attributes:
      doubted: Epoch whose owner failed at a request although it appears
        live, e.g. because it does not reach the log; challenged once.
    """

    def __init__(
        self, writer: records.Writer, timing: Timing | None = None
    ) -> None:
        self.writer = writer
        self.timing = timing or Timing()
        self.doubted = records.NO_EPOCH
        self.since: tuple[Any, float] = (None, 0.0)
        self.epoch = records.NO_EPOCH
        self.challenge = (records.NO_EPOCH, 0.0)
        self.answered_at = -self.timing.answered_s

    def doubt(self, epoch: int) -> None:
        """Challenge the owner of an epoch although it appears live."""
        self.doubted = epoch

    def step(self, seen: Seen, now: float) -> Step:
        """Return what to do now.

        Args:
          seen: What is known.
          now: Monotonic seconds.
        """
        held = seen.held
        self.note_challenge(held, now)
        if held.owner == self.writer:
            return self.as_owner(seen, now)
        if seen.draining:
            return NOTHING
        if held.owner is None:
            return self.in_turn(seen, now, self.claim(held, gone=True))
        if held.owner.name == self.writer.name:
            # The life before this one. A later one, if this process is
            # the one left behind, has voided whatever it could write.
            later = held.owner.incarnation < self.writer.incarnation
            return self.claim(held, gone=True) if later else NOTHING
        if seen.sight is Sight.GONE:
            return self.in_turn(seen, now, self.claim(held, gone=True))
        if seen.sight is Sight.LOST or self.doubted == held.epoch:
            return self.against(seen, now)
        return NOTHING

    def as_owner(self, seen: Seen, now: float) -> Step:
        """Return what an owner does."""
        if seen.held.challenge != records.NO_EPOCH:
            return Step(folds.ALIVE)
        if seen.draining:
            return Step(folds.RELEASE)
        if seen.rank() == 0:
            self.since = (None, now)
            return NOTHING
        wait = self.waited("rebalance", now, self.timing.rebalance_s)
        return Step(again_s=wait) if wait > 0 else Step(folds.RELEASE)

    def against(self, seen: Seen, now: float) -> Step:
        """Return what to do against an owner taken for lost."""
        held = seen.held
        if held.challenge != records.NO_EPOCH:
            turn_s = seen.rank() * self.timing.stagger_s
            left = self.challenge[1] + self.timing.patience_s + turn_s - now
            return Step(again_s=left) if left > 0 else self.claim(held)
        left = self.answered_at + self.timing.answered_s - now
        if left > 0:
            return Step(again_s=left)
        challenge = folds.Challenge(held.epoch)
        return self.in_turn(
            seen, now, Step(folds.CHALLENGE, dataclasses.asdict(challenge))
        )

    def in_turn(self, seen: Seen, now: float, step: Step) -> Step:
        """Return ``step`` once those before this host had their turn."""
        what = (seen.held.epoch, step.kind, seen.sight)
        wait = self.waited(what, now, seen.rank() * self.timing.stagger_s)
        return Step(again_s=wait) if wait > 0 else step

    def waited(self, what: Any, now: float, needed_s: float) -> float:
        """Return how long to wait until something has held long enough."""
        if self.since[0] != what:
            self.since = (what, now)
        return self.since[1] + needed_s - now

    def note_challenge(self, held: folds.Ownership, now: float) -> None:
        """Note when a challenge appears and when it is answered."""
        if held.epoch != self.epoch:
            self.epoch = held.epoch
            self.answered_at = now - self.timing.answered_s
        elif self.challenge[0] != records.NO_EPOCH == held.challenge:
            self.answered_at = now
            self.doubted = records.NO_EPOCH
        if held.challenge != self.challenge[0]:
            self.challenge = (held.challenge, now)

    def claim(self, held: folds.Ownership, gone: bool = False) -> Step:
        """Return the step that claims."""
        claim = folds.Claim(held.epoch, held.challenge, gone)
        return Step(folds.CLAIM, dataclasses.asdict(claim))
