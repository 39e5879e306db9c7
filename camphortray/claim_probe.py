"""Asks the host that claimed a call whether it is still at work on it."""

__all__ = ["CallProbe", "CallState", "ClaimProbes"]

from collections.abc import Callable
import dataclasses
from typing import Any

from camphortray import config as configs
from camphortray import errors
from camphortray import membership
from camphortray import messages
from camphortray import peers
from camphortray import records

# Longest wait for the claimer's word, in seconds.
ASK_S = 1.0


@messages.message("calls.probe")
@dataclasses.dataclass(frozen=True, slots=True)
class CallProbe:
    """Asks whether a call is under way.

    Attributes:
      name: Of the call.
      incarnation: Of the process that claimed it.
    """

    name: str
    incarnation: int


@messages.message("calls.state")
@dataclasses.dataclass(frozen=True, slots=True)
class CallState:
    """Answers a probe.

    Attributes:
      running: Whether an answer may still be written.
    """

    running: bool


class ClaimProbes:
    """Both sides of the question.

    A resend must not be held back for an answer that nobody will write:
    the claimer may have had no answer from the service itself.
    """

    def __init__(
        self,
        links: peers.Peers,
        members: membership.Membership,
        writer: records.Writer,
        running: Callable[[str], bool],
    ) -> None:
        self.links = links
        self.members = members
        self.writer = writer
        self.running = running
        links.on(CallProbe, self.on_probe)

    async def on_probe(self, sender: peers.Sender, probe: CallProbe) -> Any:
        """Answer for this process; an earlier life of it runs nothing."""
        same = probe.incarnation == self.writer.incarnation
        return CallState(same and self.running(probe.name))

    async def at_work(self, claimer: records.Writer, name: str) -> bool:
        """Return whether the claimer says that it is at work on a call."""
        if claimer == self.writer:
            return self.running(name)
        member = self.members.member(claimer.name)
        if member is None or member.dead:
            return False
        address = configs.Address.from_text(member.peer_address)
        probe = CallProbe(name, claimer.incarnation)
        try:
            state = await self.links.ask_anew(address, probe, ASK_S)
        except errors.MessageError:
            return False
        return isinstance(state, CallState) and state.running
