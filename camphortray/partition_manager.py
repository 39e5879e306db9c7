"""Manages the job partitions of this host and tracks who owns the others."""

__all__ = ["PartitionManager"]

import asyncio
import contextlib

from camphortray import active_config
from camphortray import backends
from camphortray import backlog_reporting
from camphortray import engine_crashes
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
from camphortray import segment_quarantine
from camphortray import slot_client
from camphortray import tasks

LOG = logs.logger("jobs")
OWNER = "job-owner"
# Time without a renewal after which the group removes this host. The store
# accepts no less than one second.
MEMBERSHIP_TTL_S = 1.2
# Interval between renewals of the membership.
JOIN_INTERVAL_S = 0.35
# Interval at which a host that is no candidate checks its rank.
RANK_CHECK_INTERVAL_S = 1.0
# Time after which gossip drops a published claim to own a partition.
CLAIM_TTL_S = 600.0
# Attempts to confirm an epoch before its partition is released. Each takes
# some tenths of a second at most; together they take less than the time for
# which items of an ended job may still reach engines.
CONFIRM_TRIES = 4
# Minimum interval between queries for the owners of all partitions, however
# many calls lack an owner: a host with such calls sends at most three a
# second, the rate at which a member of the group renews its membership.
OWNER_QUERY_INTERVAL_S = 0.35
# Minimum interval between the times that this host leaves the group to be
# assigned its partitions in a later generation.
REJOIN_INTERVAL_S = 5.0


class PartitionManager:
    """Joins the store's group of owners and owns the partitions it assigns.

    Attributes:
      held: Owners of the partitions that this host owns, by partition.
      owner_cache: Owners of all partitions, as far as this host knows.
      backlog: Tokens of open items of all hosts.
      handover: Sends partial output to the next owners of partitions.
      candidates: Decides whether this host is to join the group.
      joined: Whether this host is in the group, as far as it knows.
      unowned: Set when partitions are found without an owner.
      generation: Latest generation of the group that this host knows.
      applied_generation: Generation whose assignment this host last applied.
      owned_epochs: Last epoch in which this host owned each partition.
      reassigned: Partitions in the last assignment that this host must not own
        again in that generation.
      left_at: When this host last left the group to be assigned its
        partitions in a later generation.
      renewed_at: When the last successful renewal of the membership began.
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
            context.part(engine_crashes.EngineCrashes),
            context.part(segment_quarantine.SegmentQuarantine),
            context.metrics,
        )
        self.member = f"{context.config.host.name}.{context.incarnation}"
        self.generation = self.applied_generation = 0
        self.held: dict[int, partition_owner.PartitionOwner] = {}
        self.owner_cache = owner_cache.OwnerCache(self.members.own_name)
        self.next_query_at = 0.0
        self.owner_query: asyncio.Task[None] | None = None
        self.backlog = backlog_reporting.BacklogReporter(
            context, self.held, self.ledger.parts
        )
        self.handover = handover.Handover(context, self.held)
        self.renewed_at = -MEMBERSHIP_TTL_S
        self.candidates = owner_candidates.OwnerCandidates(
            self.members.own_name, self.ledger.parts, self.clock.monotonic()
        )
        self.joined = False
        self.unowned = asyncio.Event()
        self.owned_epochs: dict[int, int] = {}
        self.reassigned: set[int] = set()
        self.left_at = -REJOIN_INTERVAL_S
        self.draining = False
        self.gauges = item_gauges.ItemGauges(context, self.held)
        self.task: asyncio.Task[None] | None = None
        self.gauges_task: asyncio.Task[None] | None = None

    @property
    def known(self) -> dict[int, owner_cache.OwnerClaim]:
        """Latest claim of an owner, by partition."""
        return self.owner_cache.known

    def start(self) -> None:
        """Start to join the group and to own assigned partitions."""
        self.members.on_fact(OWNER, self.on_owner_fact)
        self.backlog.start()
        self.handover.start()
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(
            tasks.forever("membership of owners", self.keep_membership)
        )
        self.gauges_task = loop.create_task(
            tasks.forever("gauges of open items", self.gauges.run)
        )

    async def keep_membership(self) -> None:
        """Stay in the group as long as this host is to be a member."""
        while not self.draining:
            should_join = self.should_join()
            if should_join:
                await self.join()
            elif self.joined:
                await self.withdraw()
            fast = should_join or not self.members.introduced
            pause_s = JOIN_INTERVAL_S if fast else RANK_CHECK_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self.unowned.wait()
            self.unowned.clear()

    def should_join(self) -> bool:
        """Return whether this host is to be a member of the group now."""
        if self.held:
            # Partitions are not moved only because the rank has changed.
            return True
        return self.candidates.should_join(
            self.members.possible("host"),
            self.members.introduced,
            self.joined,
            self.clock.monotonic(),
        )

    async def withdraw(self) -> None:
        """Leave the group while this host owns no partition."""
        try:
            await self.ledger.leave(self.member)
        except errors.LogError as error:
            LOG.debug("Could not leave the group: {}", error)
            return
        self.joined = False

    async def join(self) -> None:
        """Renew the membership at the store and apply its assignment."""
        started_at = self.clock.monotonic()
        try:
            found = await self.ledger.join(
                self.member, self.generation, MEMBERSHIP_TTL_S
            )
        except errors.LogError as error:
            LOG.debug("Could not join the group: {}", error)
            return
        self.joined = True
        gap = started_at - self.renewed_at > MEMBERSHIP_TTL_S
        before, self.generation = (
            self.generation,
            max(self.generation, found.generation),
        )
        self.renewed_at = started_at
        if gap or found.generation > before + 1:
            await self.confirm_all(found.generation > before)
        if self.draining:
            return
        self.applied_generation = self.generation
        for part in set(self.held) - found.parts:
            LOG.notice("Partition {} is dealt to another.", part)
            self.stop_owner(self.held.pop(part))
        assigned = found.parts - set(self.held)
        reassigned = {
            part
            for part in assigned
            if self.owned_epochs.get(part, 0) >= found.generation
        }
        for part in assigned - reassigned:
            self.take(part, found.generation)
        # Leave only after two such answers in a row: a partition lost after
        # the store had answered is missing from the next assignment.
        repeated, self.reassigned = reassigned & self.reassigned, reassigned
        if repeated:
            await self.rejoin(repeated)

    async def rejoin(self, reassigned: set[int]) -> None:
        """Leave the group to be assigned partitions in a later generation.

        A partition that was released here and is still assigned to this host
        must not be owned again in the same epoch: the store identifies the
        appends of an epoch by sequence number. It would take the first
        appends of the new owner for repeats of earlier ones, acknowledge them
        and store nothing.
        """
        now = self.clock.monotonic()
        if now - self.left_at < REJOIN_INTERVAL_S:
            return
        self.left_at = now
        LOG.notice(
            "Leaving the group to own partitions {} in a later epoch.",
            sorted(reassigned),
        )
        for owner in list(self.held.values()):
            self.stop_owner(owner)
        self.held.clear()
        try:
            await self.ledger.leave(self.member)
        except errors.LogError as error:
            LOG.info("Could not leave the group: {}", error)

    def stop_owner(self, owner: partition_owner.PartitionOwner) -> None:
        """Stop an owner and save the partial output of its running items."""
        self.handover.save(owner)
        owner.stop()

    async def confirm_all(self, changed: bool) -> None:
        """Release partitions that another host may have owned meanwhile.

        The group may have removed this host, or reassigned partitions twice:
        one that is assigned here again may have had another owner, whose
        records this host has not read. A host that was paused may not notice
        the gap on its own clock, but sees it in the group's generation.

        Args:
          changed: Whether the generation has grown meanwhile. If not, the
            assignment is unchanged, and partitions are kept even if the store
            does not respond.
        """
        unconfirmed = [
            owner
            for owner in self.held.values()
            if owner.ready.is_set() and not owner.lost
        ]
        for _ in range(CONFIRM_TRIES):
            # Concurrently, and together with a renewal of the membership: in
            # sequence, the retried confirmations outlasted the membership.
            known = await asyncio.gather(
                *(self.check_epoch(owner) for owner in unconfirmed),
                self.renew(),
            )
            pairs = list(zip(unconfirmed, known, strict=False))
            for owner, found in pairs:
                if found is False:
                    self.release(owner)
            unconfirmed = [owner for owner, found in pairs if found is None]
            if not unconfirmed:
                return
        for owner in unconfirmed:
            LOG.notice("Partition {} could not be confirmed.", owner.part)
            if changed:
                self.release(owner)

    def release(self, owner: partition_owner.PartitionOwner) -> None:
        """Release a partition that another host may have owned meanwhile."""
        self.stop_owner(owner)
        if self.held.get(owner.part) is owner:
            del self.held[owner.part]

    async def check_epoch(
        self, owner: partition_owner.PartitionOwner
    ) -> bool | None:
        """Return whether the store confirms an epoch; None if unknown.

        Errors do not count as a loss of ownership: answers may be lost, and
        releasing the partition each time would restart its running items.
        """
        try:
            await owner.confirm()
        except errors.LogFenced:
            return False
        except errors.LogError as error:
            LOG.info(
                "Epoch {} of partition {} not confirmed: {}",
                owner.epoch,
                owner.part,
                error,
            )
            return None
        return True

    async def renew(self) -> None:
        """Renew the membership while partitions are confirmed.

        The assignment in the answer is ignored and not acknowledged; the next
        call to ``join`` applies it.
        """
        started_at = self.clock.monotonic()
        try:
            await self.ledger.join(
                self.member, self.applied_generation, MEMBERSHIP_TTL_S
            )
        except errors.LogError as error:
            LOG.debug("Could not renew the membership: {}", error)
            return
        if started_at - self.renewed_at <= MEMBERSHIP_TTL_S:
            # Otherwise the group may have removed this host once more, which
            # the next call to join must detect.
            self.renewed_at = started_at

    def take(self, part: int, epoch: int) -> None:
        """Start to take over a partition."""
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
        """Remove a partition that another host has taken over."""
        self.handover.save(owner)
        claim = self.known.get(owner.part)
        if claim is not None and claim.epoch > owner.epoch:
            self.handover.send(owner.part, claim.name)
        if self.held.get(owner.part) is owner:
            del self.held[owner.part]

    def on_change(self, part: int) -> None:
        """Publish the ownership of a partition once its records are read."""
        self.backlog.changed.set()
        owner = self.held.get(part)
        if owner is None or not owner.ready.is_set():
            return
        self.owned_epochs[part] = owner.epoch
        claim = self.known.get(part)
        if claim is None or claim[:2] != (owner.epoch, self.members.own_name):
            key = f"{part}/{self.members.own_name}"
            self.members.publish(OWNER, key, owner.epoch, CLAIM_TTL_S)
            self.handover.send(part, self.members.own_name)

    def on_owner_fact(self, fact: membership.Fact) -> None:
        """Apply a published claim to own a partition."""
        number, _, name = fact.key.partition("/")
        part, epoch = int(number), int(fact.value)
        claim = owner_cache.OwnerClaim(epoch, name, self.clock.monotonic())
        newest = self.owner_cache.on_claim(part, claim)
        owner = self.held.get(part)
        if owner is not None and epoch > owner.epoch:
            # The store, which may be unreachable, has not reported the new
            # owner to this host. The two must not run items in parallel.
            LOG.notice(
                "Releasing partition {}: {} owns it in epoch {}.",
                part,
                name,
                epoch,
            )
            del self.held[part]
            self.stop_owner(owner)
        if newest and name != self.members.own_name:
            self.handover.send(part, name)

    async def wait_for_owner(self, pause_s: float) -> None:
        """Wait before a call is retried; query the owners if that is due.

        The wait ends early once a pending query has been answered.

        Args:
          pause_s: Maximum wait.
        """
        now = self.clock.monotonic()
        if self.owner_query is None and now >= self.next_query_at:
            self.next_query_at = now + OWNER_QUERY_INTERVAL_S
            self.owner_query = tasks.spawn(
                "query of the owners of partitions", self.query_owners()
            )
        if self.owner_query is None:
            await asyncio.sleep(pause_s)
        else:
            await asyncio.wait({self.owner_query}, timeout=pause_s)

    async def query_owners(self) -> None:
        """Query the store for the owners of all partitions."""
        try:
            found = await self.ledger.owners()
        except errors.LogError as error:
            LOG.info("Could not query the owners of partitions: {}", error)
        else:
            program = self.context.program
            self.owner_cache.on_assignment(
                {
                    part: f"{member.rpartition('.')[0]}/{program}"
                    for part, member in found.items()
                }
            )
            if len(found) < self.ledger.parts:
                self.candidates.note_unowned(self.clock.monotonic())
                self.unowned.set()
        finally:
            self.owner_query = None

    @property
    def membership_lapsed(self) -> bool:
        """Whether the group may have removed this host.

        Another host may then own partitions that this one still holds.
        """
        return self.clock.monotonic() - self.renewed_at > MEMBERSHIP_TTL_S

    async def drain(self) -> None:
        """Release all partitions, so that other hosts take over at once."""
        if self.draining:
            return
        self.draining = True
        for owner in list(self.held.values()):
            try:
                self.handover.save(owner)
                await owner.close()
            except Exception as error:
                # The remaining partitions must still be released.
                LOG.error(
                    "Closing partition {} failed: {!r}", owner.part, error
                )
        self.held.clear()
        try:
            await self.ledger.leave(self.member)
        except errors.LogError as error:
            LOG.info("Could not leave the group: {}", error)

    def stop(self) -> None:
        """Stop without a handover, as in a crash."""
        self.backlog.stop()
        for task in (self.task, self.gauges_task, self.owner_query):
            if task is not None:
                task.cancel()
        for owner in list(self.held.values()):
            owner.stop()
