"""Which partitions of jobs this host owns, and who owns the others."""

__all__ = ["PartitionManager"]

import asyncio
import contextlib

from camphortray import active_config
from camphortray import backends
from camphortray import backlog_gossip
from camphortray import errors
from camphortray import handover
from camphortray import item_gauges
from camphortray import item_retry
from camphortray import itemwork
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import owner_cache
from camphortray import owner_candidates
from camphortray import partition_owner
from camphortray import slot_client
from camphortray import tasks

LOG = logs.logger("jobs")
OWNER = "job-owner"
# Time without a call after which the group goes on without this host, and
# from one call to the next, in seconds. The store takes no less than one.
KEEP_S = 1.2
JOIN_EVERY_S = 0.35
# From one look of a host that is no candidate at its rank to the next.
RANK_EVERY_S = 1.0
FACT_KEEP_S = 600.0
# Times that an epoch is confirmed before its partition is given up. Each
# takes some tenths of a second at most, all together less than an ended
# job's items may still reach engines.
CONFIRM_TRIES = 4
# Least seconds from one question to the store of who owns what to the next,
# however many calls lack an owner: three calls a second of a host that has
# such calls, where it is a member of the group at the same rate.
SEEK_EVERY_S = 0.35
# Least seconds from one time that this host leaves the group, to be dealt its
# partitions in a later generation, to the next.
ANEW_EVERY_S = 5.0


class PartitionManager:
    """A member of the store's group of owners.

    Attributes:
      held: Partitions owned here, by number.
      book: Who owns the partitions, as this host has heard.
      waiting: Tokens that wait, over all hosts.
      handover: What is left to the next owners, and by the last ones.
      candidates: Whether this host is to be a member of the group.
      joined: Whether it is one, as far as it knows.
      unowned: Set when partitions are found without an owner.
      generation: Of the group, as last heard.
      acted_on: Of what this host has last given up and taken over.
      begun: Epochs in which partitions have been owned here, by number.
      again: Partitions dealt to this host by the last answer that it must
        not own again in that generation.
      anew_at: When this host last left the group to be dealt anew.
      touched_at: When the store last took this host for a member.
    """

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.clock = context.clock
        self.members = context.part(membership.Membership)
        parties = context.part(backends.LedgerBackends)
        self.ledger = parties.ledger
        self.parts = itemwork.WorkParts(
            context.clock,
            parties,
            context.part(active_config.ActiveConfig),
            context.part(slot_client.SlotClient),
            item_retry.DurationEstimator(),
            context.metrics,
        )
        self.member = f"{context.config.host.name}.{context.incarnation}"
        self.generation = self.acted_on = 0
        self.held: dict[int, partition_owner.PartitionOwner] = {}
        self.book = owner_cache.OwnerCache(self.members.own_name)
        self.seek_at = 0.0
        self.seeking: asyncio.Task[None] | None = None
        self.waiting = backlog_gossip.BacklogGossip(context, self.held)
        self.handover = handover.Handover(context, self.held)
        self.touched_at = -KEEP_S
        self.candidates = owner_candidates.OwnerCandidates(
            self.members.own_name, self.ledger.parts, self.clock.monotonic()
        )
        self.joined = False
        self.unowned = asyncio.Event()
        self.begun: dict[int, int] = {}
        self.again: set[int] = set()
        self.anew_at = -ANEW_EVERY_S
        self.draining = False
        self.gauges = item_gauges.ItemGauges(context, self.held)
        self.task: asyncio.Task[None] | None = None
        self.look_task: asyncio.Task[None] | None = None

    @property
    def known(self) -> dict[int, owner_cache.OwnerClaim]:
        """Newest claim of an owner, by partition."""
        return self.book.known

    def start(self) -> None:
        """Join the group and take what it deals."""
        self.members.on_fact(OWNER, self.on_owner)
        self.waiting.start()
        self.handover.start()
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(
            tasks.forever("membership of owners", self.keep_membership)
        )
        self.look_task = loop.create_task(
            tasks.forever("gauges of open items", self.gauges.run)
        )

    async def keep_membership(self) -> None:
        """Be a member of the group whenever this host is a candidate."""
        while not self.draining:
            offers = self.offers()
            if offers:
                await self.join()
            elif self.joined:
                await self.withdraw()
            fast = offers or not self.members.introduced
            pause_s = JOIN_EVERY_S if fast else RANK_EVERY_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self.unowned.wait()
            self.unowned.clear()

    def offers(self) -> bool:
        """Return whether this host is to be a member of the group now."""
        if self.held:
            # What is owned stays where it is.
            return True
        return self.candidates.offers(
            self.members.possible("host"),
            self.members.introduced,
            self.joined,
            self.clock.monotonic(),
        )

    async def withdraw(self) -> None:
        """Leave the group, in which this host owns nothing."""
        try:
            await self.ledger.leave(self.member)
        except errors.LogError as error:
            LOG.debug("Could not leave the group: {}", error)
            return
        self.joined = False

    async def join(self) -> None:
        """Renew the membership at the store, and take what it assigns."""
        begun_at = self.clock.monotonic()
        try:
            found = await self.ledger.join(
                self.member, self.generation, KEEP_S
            )
        except errors.LogError as error:
            LOG.debug("Not joined: {}", error)
            return
        self.joined = True
        gap = begun_at - self.touched_at > KEEP_S
        before, self.generation = (
            self.generation,
            max(self.generation, found.generation),
        )
        self.touched_at = begun_at
        if gap or found.generation > before + 1:
            await self.confirm_all(found.generation > before)
        if self.draining:
            return
        self.acted_on = self.generation
        for part in set(self.held) - found.parts:
            LOG.notice("Partition {} is dealt to another.", part)
            self.give_up(self.held.pop(part))
        dealt = found.parts - set(self.held)
        again = {
            part
            for part in dealt
            if self.begun.get(part, 0) >= found.generation
        }
        for part in dealt - again:
            self.take(part, found.generation)
        # Twice in a row: what was lost between the store's answer and now is
        # not dealt to this host any more when it asks again.
        still, self.again = again & self.again, again
        if still:
            await self.join_anew(still)

    async def join_anew(self, again: set[int]) -> None:
        """Leave the group, so that it deals in a later generation.

        A partition that was given up here and is still dealt to this host
        cannot be owned again in the same epoch: the store knows the appends
        of an epoch by number. It would take the first ones of a new owner
        for repeats of the old one's, say that they are kept, and keep
        nothing of them.
        """
        now = self.clock.monotonic()
        if now - self.anew_at < ANEW_EVERY_S:
            return
        self.anew_at = now
        LOG.notice(
            "Leaves the group to own partitions {} in a later epoch.",
            sorted(again),
        )
        for owner in list(self.held.values()):
            self.give_up(owner)
        self.held.clear()
        try:
            await self.ledger.leave(self.member)
        except errors.LogError as error:
            LOG.info("Could not leave the group: {}", error)

    def give_up(self, owner: partition_owner.PartitionOwner) -> None:
        """Stop owning a partition; the next owner gets what is under way."""
        self.handover.leave(owner)
        owner.stop()

    async def confirm_all(self, changed: bool) -> None:
        """Keep only partitions that no other has owned meanwhile.

        The group may have gone on without this host, or dealt all anew
        twice: what is its own again may have had another owner, whose
        jobs and ends it has not read. A host that stood still does not
        see the gap on its own clock, but in the group's generation.

        Args:
          changed: Whether the generation has grown meanwhile. If not, all
            is still dealt as it was, and silence of the store says nothing.
        """
        left = [
            owner
            for owner in self.held.values()
            if owner.ready.is_set() and not owner.lost
        ]
        for _ in range(CONFIRM_TRIES):
            # All at once, and the membership beside them: one after the
            # other, each with its tries, they took longer than it lasts.
            known = await asyncio.gather(
                *(self.confirmed(owner) for owner in left), self.renew()
            )
            pairs = list(zip(left, known, strict=False))
            for owner, found in pairs:
                if found is False:
                    self.give_away(owner)
            left = [owner for owner, found in pairs if found is None]
            if not left:
                return
        for owner in left:
            LOG.notice("Partition {} could not be confirmed.", owner.part)
            if changed:
                self.give_away(owner)

    def give_away(self, owner: partition_owner.PartitionOwner) -> None:
        """Give a partition up that another may have owned meanwhile."""
        self.give_up(owner)
        if self.held.get(owner.part) is owner:
            del self.held[owner.part]

    async def confirmed(
        self, owner: partition_owner.PartitionOwner
    ) -> bool | None:
        """Return whether the store confirms an owner's epoch; None if silent.

        Its answers may be lost; given up after the first, all items under
        way would begin anew at each lost answer.
        """
        try:
            await owner.confirm()
        except errors.LogFenced:
            return False
        except errors.LogError as error:
            LOG.info("Partition {} not confirmed: {}", owner.part, error)
            return None
        return True

    async def renew(self) -> None:
        """Stay a member while partitions are confirmed.

        What the store deals is acted upon by the next call; this one does not
        say that it has been.
        """
        begun_at = self.clock.monotonic()
        try:
            await self.ledger.join(self.member, self.acted_on, KEEP_S)
        except errors.LogError as error:
            LOG.debug("Not renewed: {}", error)
            return
        if begun_at - self.touched_at <= KEEP_S:
            # Else the group may have gone on without this host once more,
            # which the next call is to see.
            self.touched_at = begun_at

    def take(self, part: int, epoch: int) -> None:
        """Take a partition over."""
        owner = partition_owner.PartitionOwner(
            self.parts,
            self.ledger,
            part,
            epoch,
            self.context.config.front.item_keep_s,
            lambda: self.on_change(part),
            self.on_lost,
        )
        self.held[part] = owner
        owner.start()

    def on_lost(self, owner: partition_owner.PartitionOwner) -> None:
        """Forget a partition that another has taken over."""
        self.handover.leave(owner)
        claim = self.known.get(owner.part)
        if claim is not None and claim.epoch > owner.epoch:
            self.handover.give(owner.part, claim.name)
        if self.held.get(owner.part) is owner:
            del self.held[owner.part]

    def on_change(self, part: int) -> None:
        """Publish that a partition has been taken over."""
        self.waiting.counts_changed = True
        owner = self.held.get(part)
        if owner is None or not owner.ready.is_set():
            return
        self.begun[part] = owner.epoch
        claim = self.known.get(part)
        if claim is None or claim[:2] != (owner.epoch, self.members.own_name):
            key = f"{part}/{self.members.own_name}"
            self.members.publish(OWNER, key, owner.epoch, FACT_KEEP_S)
            self.handover.give(part, self.members.own_name)

    def on_owner(self, fact: membership.Fact) -> None:
        """Take note of who owns a partition."""
        number, _, name = fact.key.partition("/")
        part, epoch = int(number), int(fact.value)
        claim = owner_cache.OwnerClaim(epoch, name, self.clock.monotonic())
        newest = self.book.on_claim(part, claim)
        owner = self.held.get(part)
        if owner is not None and epoch > owner.epoch:
            # The store does not reach this host, or it would have said so;
            # its items must not go on beside those of the new owner.
            LOG.notice("Partition {} has owner {}.", part, name)
            del self.held[part]
            self.give_up(owner)
        if newest and name != self.members.own_name:
            self.handover.give(part, name)

    async def seek(self, pause_s: float) -> None:
        """Wait before a call looks for an owner again; ask the store if due.

        The wait ends early once the store has answered.

        Args:
          pause_s: Longest wait.
        """
        now = self.clock.monotonic()
        if self.seeking is None and now >= self.seek_at:
            self.seek_at = now + SEEK_EVERY_S
            self.seeking = asyncio.get_running_loop().create_task(
                self.ask_store()
            )
        if self.seeking is None:
            await asyncio.sleep(pause_s)
        else:
            await asyncio.wait({self.seeking}, timeout=pause_s)

    async def ask_store(self) -> None:
        """Ask the store who owns what."""
        try:
            found = await self.ledger.owners()
        except errors.LogError as error:
            LOG.info("The store does not say who owns what: {}", error)
        else:
            program = self.context.program
            self.book.on_assignment(
                {
                    part: f"{member.rpartition('.')[0]}/{program}"
                    for part, member in found.items()
                }
            )
            if len(found) < self.ledger.parts:
                self.candidates.note_unowned(self.clock.monotonic())
                self.unowned.set()
        finally:
            self.seeking = None

    @property
    def lapsed(self) -> bool:
        """Whether another may own what this host takes for its own."""
        return self.clock.monotonic() - self.touched_at > KEEP_S

    async def drain(self) -> None:
        """Give the partitions up, so that others go on at once."""
        if self.draining:
            return
        self.draining = True
        for owner in list(self.held.values()):
            try:
                self.handover.leave(owner)
                await owner.close()
            except Exception as error:
                # The others must be given up all the same.
                LOG.error("Partition {} not closed: {!r}", owner.part, error)
        self.held.clear()
        try:
            await self.ledger.leave(self.member)
        except errors.LogError as error:
            LOG.info("Could not leave the group: {}", error)

    def stop(self) -> None:
        """End without handing over, as a crash would."""
        self.waiting.stop()
        for task in (self.task, self.look_task, self.seeking):
            if task is not None:
                task.cancel()
        for owner in list(self.held.values()):
            owner.stop()
