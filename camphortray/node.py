"""One member's part in the membership protocol, apart from sockets.

A driver hands in messages, answers and the time, and carries out the
``Ask`` effects that come back.
"""

__all__ = ["Ask", "Node"]

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import msgspec

from camphortray import antientropy
from camphortray import failure_detector
from camphortray import gossip
from camphortray import member_state
from camphortray import members

# Time between two ticks beyond which this host was itself paused, in
# seconds; what it then takes for silence of others is its own.
PAUSED_S = 1.0
# Seconds between tries to join, between those of a member that knows no
# other, and between exchanges with a member taken at random.
JOIN_S = 1.0
ALONE_S = 5.0
SYNC_S = 60.0
# Seconds until a neighbour whose digest stays different is asked what
# differs; doubles up to SYNC_S as long as that brings nothing new.
REPAIR_S = 4.0
# Addresses of hosts not heard of that are asked after one look at the
# platform's list.
MAX_NEW = 3
# Stands for the other program of this host, whose name is not known yet.
SIBLING = "sibling"
# Share of random exchanges that try a member held for dead, which two
# halves of a fleet need to find each other again.
DEAD_SHARE = 0.25


class Ask(msgspec.Struct, frozen=True):
    """Ask a peer and hand its answer, or None, to ``Node.answered``.

    Attributes:
      name: The member asked, or empty if only an address is known.
      address: Its peer address.
      message: What to ask.
      fresh: Whether to do so over a new connection.
      at: When it was made.
      keys: What a message of news carries.
    """

    name: str
    address: str
    message: Any
    fresh: bool
    at: float
    keys: tuple[str, ...] = ()


class Repair(msgspec.Struct):
    """When a neighbour whose digest differs is asked what differs."""

    at: float
    pause_s: float = REPAIR_S


class Node:
    """One member as it acts.

    Attributes:
      known: What it knows.
      revision: Settings revision in force here.
      head: Offset of the next settings record lacking here.
      on_head: Called with name and head of a member that answered.
      wants_list: Whether a look at the platform's list would help now.
    """

    def __init__(
        self,
        own: members.Member,
        seeds: Iterable[str],
        rng: random.Random,
        wall_offset_s: float = 0.0,
        sibling: str = "",
    ) -> None:
        self.known = member_state.MemberState(own, rng, wall_offset_s)
        self.seeds = list(seeds)
        self.sibling = sibling
        self.rng = rng
        self.revision = 0
        self.head = 0
        self.on_head: Callable[[str, int], None] = ignore_head
        self.wants_list = False
        self.known.joined = not self.seeds
        self.join_at = 0.0
        self.join_s = JOIN_S
        self.sync_at = 0.0
        self.repairs: dict[str, Repair] = {}
        self.last_tick: float | None = None
        self.woke_at = 0.0
        self.queue: list[Ask] = []

    # What this member says of itself.

    def start(self, now: float) -> None:
        """Become a member."""
        self.known.born = now
        self.sync_at = now + SYNC_S * self.rng.random()
        self.known.put(self.known.own, now)

    def leave(self, now: float) -> None:
        """Tell all that this member is leaving."""
        if self.known.own.status is members.Status.ALIVE:
            self.known.change(now, status=members.Status.LEAVING, left=True)

    def end(self, now: float) -> list[Ask]:
        """Tell the neighbours that this member ends."""
        self.known.change(now, status=members.Status.DEAD)
        self.known.gossip.busy.clear()
        return self.flush(now)

    def publish(
        self, kind: str, key: str, value: Any, keep_s: float, now: float
    ) -> None:
        """Tell all hosts a fact, this one at once."""
        wall_ms = self.known.wall_ms(now)
        fact = self.known.facts.make(kind, key, value, keep_s, wall_ms)
        self.known.merge_fact(fact, now)

    # Time passes.

    def tick(self, now: float) -> list[Ask]:
        """Do what is due; called about ten times a second."""
        if self.last_tick is not None and now - self.last_tick > PAUSED_S:
            self.woke_at = now
            self.known.watch.shift(now - self.last_tick)
        self.last_tick = now
        for name in self.known.directory.prune(now):
            self.known.watch.cleared(name)
        self.known.facts.prune(self.known.wall_ms(now))
        self.ripen(now)
        self.known.settle(now)
        self.forget_repairs()
        asks = [self.probe(name, now) for name in self.known.watch.due(now)]
        asks += self.join(now)
        asks += self.catch_up(now)
        if now >= self.sync_at:
            self.sync_at = now + SYNC_S * (0.5 + self.rng.random())
            asks += self.sync_at_random(now)
        return asks + self.flush(now)

    def catch_up(self, now: float) -> list[Ask]:
        """Ask neighbours that may lack news what differs."""
        due = self.known.catch_up.due(self.known.gossip.neighbours, now)
        if not due:
            return []
        message = self.sync_message()
        held = [self.known.directory.members.get(name) for name in due]
        return [
            self.ask(member, message, now, False)
            for member in held
            if member is not None and member.peer_address
        ]

    def forget_repairs(self) -> None:
        """Forget repairs with members that are not probed any more."""
        for name in self.repairs.keys() - self.known.watch.due_at.keys():
            del self.repairs[name]

    def ripen(self, now: float) -> None:
        """Hold for dead whoever did not refute in time."""
        for name in self.known.watch.ripe(now):
            self.known.mark(name, members.Status.DEAD, now)

    def ask(
        self, member: members.Member, message: Any, now: float, fresh: bool
    ) -> Ask:
        """Return the effect that asks a member."""
        address = member.peer_address
        return Ask(member.name, address, message, fresh, now)

    def probe(self, name: str, now: float, fresh: bool = False) -> Ask:
        """Return the effect that asks for a sign of life."""
        message = gossip.Ping(
            self.known.own.incarnation,
            self.known.digest,
            self.revision,
            self.head,
        )
        return self.ask(
            self.known.directory.members[name], message, now, fresh
        )

    def flush(self, now: float) -> list[Ask]:
        """Return the effects that tell news, and all that is queued."""
        asks, self.queue = self.queue, []
        for name, keys in self.known.gossip.take().items():
            member = self.known.directory.members.get(name)
            if member is None:
                self.known.gossip.sent(name, [], True)
                continue
            asks.append(
                Ask(
                    name,
                    member.peer_address,
                    self.known.news_of(keys),
                    False,
                    now,
                    tuple(keys),
                )
            )
        return asks

    def join(self, now: float) -> list[Ask]:
        """Ask for all that is known, until somebody has answered."""
        if now < self.join_at:
            return []
        self.join_at = now + self.join_s * (0.5 + self.rng.random())
        asks = []
        if not self.known.joined:
            asks += self.ask_seed(now)
        elif self.join_s < SYNC_S:
            self.join_s *= 2
        if (
            self.sibling
            and len(self.known.directory.on_host(self.known.own.host)) < 2
        ):
            # The other program of this host is tried for ever, as it may
            # start at any time, but ever less often.
            message = self.sync_message()
            asks.append(Ask(SIBLING, self.sibling, message, True, now))
        return asks

    def ask_seed(self, now: float) -> list[Ask]:
        """Ask any seed for all it knows."""
        seeds = [
            each for each in self.seeds if each != self.known.own.peer_address
        ]
        if not seeds:
            return []
        seed = self.rng.choice(seeds)
        return [Ask("", seed, self.sync_message(), True, now)]

    def sync_message(self) -> antientropy.Sync:
        """Return a question for what differs."""
        return antientropy.sync(self.known.directory, self.known.facts)

    def sync_at_random(self, now: float) -> list[Ask]:
        """Exchange what differs with any member of another host."""
        others = [
            member
            for member in self.known.directory.members.values()
            if member.host != self.known.own.host
        ]
        dead = [member for member in others if member.dead]
        if dead and self.rng.random() < DEAD_SHARE:
            others = dead
        else:
            others = [member for member in others if not member.dead]
        if not others:
            self.sync_at = now + ALONE_S
            return self.ask_seed(now)
        chosen = self.rng.choice(others)
        return [self.ask(chosen, self.sync_message(), now, True)]

    # Messages and answers.

    def receive(self, sender: str, message: Any, now: float) -> Any:
        """Take a message; return the answer, or None for a plain ack."""
        if isinstance(message, gossip.Ping):
            return self.on_ping(sender, message)
        if isinstance(message, antientropy.Sync):
            return antientropy.reply(
                message, self.known.directory, self.known.facts
            )
        if isinstance(message, gossip.News):
            self.known.apply_gossip(message, now, sender)
        elif isinstance(message, failure_detector.Doubt):
            self.on_doubt(sender, message, now)
        return None

    def on_ping(self, sender: str, ping: gossip.Ping) -> gossip.Pong:
        """Give a sign of life, and say what is held of the asker."""
        self.known.directory.note_revision(sender, ping.revision)
        self.on_head(sender, ping.head)
        held = self.known.directory.members.get(sender)
        news: tuple[members.Member, ...] = ()
        if held is not None and (
            held.incarnation > ping.incarnation
            or held.status in (members.Status.SUSPECT, members.Status.DEAD)
        ):
            news = (held.trimmed(),)
        unknown = held is None or held.incarnation < ping.incarnation
        return gossip.Pong(
            self.known.digest, self.revision, self.head, unknown, news
        )

    def on_doubt(
        self, sender: str, doubt: failure_detector.Doubt, now: float
    ) -> None:
        """Note another watcher's doubt and look for oneself at once."""
        held = self.known.directory.members.get(doubt.name)
        host = sender.partition("/")[0]
        if held is None or held.dead or host == self.known.own.host:
            return
        if held.incarnation != doubt.incarnation or held == self.known.own:
            return
        self.weigh(held, host, now)
        self.queue.append(self.probe(doubt.name, now, fresh=True))

    def answered(self, ask: Ask, reply: Any, now: float) -> list[Ask]:
        """Take the answer to an ``Ask``, or None if there was none."""
        if isinstance(ask.message, gossip.News):
            self.on_news_sent(ask, reply is not None, now)
        elif isinstance(ask.message, antientropy.Sync):
            self.on_sync_reply(ask, reply, now)
        elif isinstance(ask.message, gossip.Ping):
            if isinstance(reply, gossip.Pong):
                return self.on_pong(ask, reply, now)
            return self.on_silence(ask, now)
        return []

    def on_news_sent(self, ask: Ask, arrived: bool, now: float) -> None:
        """Take note of whether a neighbour has taken news."""
        if ask.keys:
            keys = list(ask.keys)
            lost = bool(self.known.gossip.sent(ask.name, keys, arrived))
        else:
            # What a neighbour lacked, as an exchange with it has shown.
            lost = not arrived
        if lost and ask.name in self.known.gossip.neighbours:
            self.known.catch_up.owe(ask.name, now)

    def on_pong(self, ask: Ask, pong: gossip.Pong, now: float) -> list[Ask]:
        """Take a sign of life and what came with it."""
        name = ask.name
        self.known.watch.reached(name)
        self.known.directory.note_revision(name, pong.revision)
        self.on_head(name, pong.head)
        for member in pong.news:
            self.known.merge_member(member, now, name)
        if pong.unknown:
            self.known.gossip.add_for(name, self.known.own.name)
        if pong.digest == self.known.digest:
            self.repairs.pop(name, None)
            return []
        repair = self.repairs.setdefault(name, Repair(now + REPAIR_S / 2))
        if now < repair.at:
            return []
        repair.at = now + repair.pause_s
        repair.pause_s = min(repair.pause_s * 2, SYNC_S)
        asked = self.known.directory.members.get(name)
        if asked is None:
            return []
        return [self.ask(asked, self.sync_message(), now, False)]

    def on_silence(self, ask: Ask, now: float) -> list[Ask]:
        """Try a new connection, then doubt."""
        held = self.known.directory.members.get(ask.name)
        paused = self.last_tick is None or now - self.last_tick > PAUSED_S
        if held is None or held.dead or paused or ask.at <= self.woke_at:
            return []
        if not ask.fresh:
            # An open connection may have gone silent for good while new
            # ones work; only a failed new one says something of the host.
            return [self.probe(ask.name, now, fresh=True)]
        self.wants_list = True
        self.weigh(held, self.known.own.host, now)
        if not self.known.watch.announces(ask.name, now):
            return []
        doubt = failure_detector.Doubt(held.name, held.incarnation)
        return [
            self.ask(member, doubt, now, False)
            for member in self.known.neighbours.other_watchers(held.host)
        ]

    def weigh(self, held: members.Member, host: str, now: float) -> None:
        """Suspect a member once there are doubts enough."""
        count = self.known.watch.doubt(held.name, host, held.incarnation, now)
        if count and self.known.listed.get(held.host) in ("gone", "leaving"):
            count += 1
        if not count or count < self.known.neighbours.enough_doubts(held.host):
            return
        if held.status is members.Status.LEAVING:
            # It said so itself; there is nothing to refute.
            self.known.mark(held.name, members.Status.DEAD, now)
            return
        self.known.mark(held.name, members.Status.SUSPECT, now)
        suspect = self.known.directory.members[held.name]
        news = gossip.News((suspect.trimmed(),))
        self.queue.append(Ask("", held.peer_address, news, True, now))

    def on_sync_reply(self, ask: Ask, reply: Any, now: float) -> None:
        """Take what differs and give what the other lacks."""
        if not isinstance(reply, antientropy.SyncReply):
            return
        if not ask.name:
            self.known.joined = True
        self.known.catch_up.paid(ask.name)
        if self.known.apply_gossip(reply, now, ask.name):
            self.repairs.clear()
        news = antientropy.lacking(
            reply, self.known.directory, self.known.facts
        )
        if news.entries or news.known:
            self.queue.append(Ask(ask.name, ask.address, news, ask.fresh, now))

    def note_list(self, listed: dict[str, str], addresses: list[str]) -> None:
        """Take the platform's list: a second opinion, and seeds.

        It lags, so it never changes a status; a host on it that nobody
        has heard of is asked, and speaks for itself.
        """
        self.wants_list = False
        self.known.listed = listed
        held = {m.peer_address for m in self.known.directory.present()}
        held.add(self.known.own.peer_address)
        new = [each for each in addresses if each not in held]
        for address in self.rng.sample(new, min(MAX_NEW, len(new))):
            sync = self.sync_message()
            self.queue.append(
                Ask("", address, sync, True, self.last_tick or 0.0)
            )


def ignore_head(name: str, head: int) -> None:
    """Do nothing."""
