"""Decides when a host challenges, claims, defends or releases a stream.

While the owner is alive no host appends ownership records. Three rules keep
a stream from moving back and forth between hosts:

- an owner that appears lost is challenged before it is replaced, and any
  record of its epoch after the challenge invalidates the claim;
- an answered challenge is not repeated for a while, as its owner reaches the
  log and only the link between the two hosts has failed;
- hosts act one after another, in the rendezvous order of the stream.
"""

__all__ = ["Liveness", "Policy", "Step", "StreamView", "Timing"]

from collections.abc import Callable
import dataclasses
import enum
from typing import Any

from camphortray import fold as folds
from camphortray import records


class Liveness(enum.Enum):
    """Liveness of a host as this host sees it."""

    LIVE = "live"
    LOST = "does not answer"
    GONE = "gone by the platform's list too"


@dataclasses.dataclass(frozen=True)
class Timing:
    """Waiting times of the policy.

    Attributes:
      challenge_timeout_s: Time that an owner has to answer a challenge.
      stagger_s: Additional delay for each host that precedes this one in
        rendezvous order.
      challenge_interval_s: Time from an answered challenge to the next.
      rebalance_s: Time for which another host must have been the preferred
        owner before the owner releases the stream.
    """

    challenge_timeout_s: float = 0.6
    stagger_s: float = 0.4
    challenge_interval_s: float = 10.0
    rebalance_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamView:
    """Input of one decision.

    Attributes:
      held: Ownership according to the log.
      liveness: Liveness of the owner, if there is one.
      rank: Returns this host's position in the rendezvous order of the live
        hosts, 0 for the first. Called only if needed, as it computes a hash
        for each host.
      draining: Whether this host is shutting down.
    """

    held: folds.Ownership
    liveness: Liveness
    rank: Callable[[], int]
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of one decision.

    Attributes:
      kind: Kind of the record to append, or empty.
      body: Body of the record.
      wait_s: Time until the next decision if nothing changes.
    """

    kind: str = ""
    body: dict[str, Any] = dataclasses.field(default_factory=dict)
    wait_s: float = 60.0


NO_STEP = Step()


class Policy:
    """Takeover decisions of one host about one stream.

    Attributes:
      suspected_epoch: Epoch whose owner failed to serve a request although
        it appears live, e.g. because it does not reach the log; it is
        challenged once.
      condition: The condition whose duration is timed, and when it began.
      challenge: Offset of the last challenge seen, and when it was read.
      answered_at: When a challenge was last answered.
    """

    def __init__(
        self, writer: records.Writer, timing: Timing | None = None
    ) -> None:
        self.writer = writer
        self.timing = timing or Timing()
        self.suspected_epoch = records.NO_EPOCH
        self.condition: tuple[Any, float] = (None, 0.0)
        self.epoch = records.NO_EPOCH
        self.challenge = (records.NO_EPOCH, 0.0)
        self.answered_at = -self.timing.challenge_interval_s

    def suspect(self, epoch: int) -> None:
        """Challenge the owner of an epoch although it appears live."""
        self.suspected_epoch = epoch

    def step(self, view: StreamView, now: float) -> Step:
        """Return the next step.

        Args:
          view: Current state of the stream and its owner.
          now: Time on the monotonic clock.
        """
        held = view.held
        self.record_challenge(held, now)
        if held.owner == self.writer:
            return self.owner_step(view, now)
        if view.draining:
            return NO_STEP
        if held.owner is None:
            return self.staggered(view, now, self.claim(held, gone=True))
        if held.owner.name == self.writer.name:
            # An earlier incarnation of this host has certainly ended. If the
            # owner is a later one, all that this process appends is void.
            ended = held.owner.incarnation < self.writer.incarnation
            return self.claim(held, gone=True) if ended else NO_STEP
        if view.liveness is Liveness.GONE:
            return self.staggered(view, now, self.claim(held, gone=True))
        if (
            view.liveness is Liveness.LOST
            or self.suspected_epoch == held.epoch
        ):
            return self.replace_owner(view, now)
        return NO_STEP

    def owner_step(self, view: StreamView, now: float) -> Step:
        """Return the next step of the owner."""
        if view.held.challenge != records.NO_EPOCH:
            return Step(folds.ALIVE)
        if view.draining:
            return Step(folds.RELEASE)
        if view.rank() == 0:
            self.condition = (None, now)
            return NO_STEP
        wait_s = self.remaining_s("rebalance", now, self.timing.rebalance_s)
        return Step(wait_s=wait_s) if wait_s > 0 else Step(folds.RELEASE)

    def replace_owner(self, view: StreamView, now: float) -> Step:
        """Return the next step towards replacing a seemingly lost owner."""
        held = view.held
        if held.challenge != records.NO_EPOCH:
            delay_s = view.rank() * self.timing.stagger_s
            wait_s = (
                self.challenge[1]
                + self.timing.challenge_timeout_s
                + delay_s
                - now
            )
            return Step(wait_s=wait_s) if wait_s > 0 else self.claim(held)
        wait_s = self.answered_at + self.timing.challenge_interval_s - now
        if wait_s > 0:
            return Step(wait_s=wait_s)
        challenge = folds.Challenge(held.epoch)
        return self.staggered(
            view, now, Step(folds.CHALLENGE, dataclasses.asdict(challenge))
        )

    def staggered(self, view: StreamView, now: float, step: Step) -> Step:
        """Return ``step`` once the hosts of lower rank had time to act."""
        condition = (view.held.epoch, step.kind, view.liveness)
        wait_s = self.remaining_s(
            condition, now, view.rank() * self.timing.stagger_s
        )
        return Step(wait_s=wait_s) if wait_s > 0 else step

    def remaining_s(
        self, condition: Any, now: float, required_s: float
    ) -> float:
        """Return the time until a condition has lasted long enough.

        Only the latest condition is timed; another one restarts the clock.
        """
        if self.condition[0] != condition:
            self.condition = (condition, now)
        return self.condition[1] + required_s - now

    def record_challenge(self, held: folds.Ownership, now: float) -> None:
        """Record when a challenge is read and when it is answered."""
        if held.epoch != self.epoch:
            self.epoch = held.epoch
            self.answered_at = now - self.timing.challenge_interval_s
        elif self.challenge[0] != records.NO_EPOCH == held.challenge:
            self.answered_at = now
            self.suspected_epoch = records.NO_EPOCH
        if held.challenge != self.challenge[0]:
            self.challenge = (held.challenge, now)

    def claim(self, held: folds.Ownership, gone: bool = False) -> Step:
        """Return the step that claims the stream."""
        claim = folds.Claim(held.epoch, held.challenge, gone)
        return Step(folds.CLAIM, dataclasses.asdict(claim))
