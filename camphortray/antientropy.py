"""Finds and mends what two hosts know differently."""

__all__ = ["Sync", "SyncReply", "lacking", "reply", "sync"]

from collections.abc import Iterable

import msgspec

from camphortray import facts
from camphortray import gossip
from camphortray import members
from camphortray import messages

DIGEST_BYTES = 8


@messages.message("sync")
class Sync(msgspec.Struct, frozen=True):
    """Asks for what differs; also how a new host joins.

    Attributes:
      buckets: Digest of each bucket, 8 bytes each.
    """

    buckets: bytes


@messages.message("sync-reply")
class SyncReply(msgspec.Struct, frozen=True):
    """All entries and facts of the buckets that differ.

    Attributes:
      differing: Numbers of these buckets.
    """

    differing: tuple[int, ...] = ()
    entries: tuple[members.Member, ...] = ()
    known: tuple[facts.Fact, ...] = ()


def sync(directory: members.Directory, table: facts.FactTable) -> Sync:
    """Return a question for what differs from what is held here."""
    digests = zip(directory.buckets, table.buckets, strict=True)
    return Sync(b"".join((a ^ b).to_bytes(DIGEST_BYTES) for a, b in digests))


def reply(
    question: Sync, directory: members.Directory, table: facts.FactTable
) -> SyncReply:
    """Return all entries and facts of the buckets that differ."""
    own = sync(directory, table).buckets
    differing = [
        number
        for number in range(members.BUCKETS)
        if digest_at(own, number) != digest_at(question.buckets, number)
    ]
    news = in_buckets(differing, directory, table)
    return SyncReply(tuple(differing), news.entries, news.known)


def digest_at(buckets: bytes, number: int) -> bytes:
    """Return the digest of one bucket."""
    return buckets[number * DIGEST_BYTES : (number + 1) * DIGEST_BYTES]


def in_buckets(
    numbers: Iterable[int],
    directory: members.Directory,
    table: facts.FactTable,
) -> gossip.News:
    """Return the entries and facts of some buckets."""
    wanted = frozenset(numbers)
    return gossip.News(
        tuple(
            member.trimmed()
            for name, member in directory.members.items()
            if members.bucket_of(name) in wanted
        ),
        tuple(
            fact
            for name, fact in table.facts.items()
            if members.bucket_of(name) in wanted
        ),
    )


def lacking(
    theirs: SyncReply, directory: members.Directory, table: facts.FactTable
) -> gossip.News:
    """Return what the answering host lacks of what is held here."""
    held = in_buckets(theirs.differing, directory, table)
    versions = {member.name: member.version for member in theirs.entries}
    orders = {fact.name: fact.order for fact in theirs.known}
    return gossip.News(
        tuple(
            member
            for member in held.entries
            if versions.get(member.name, members.NO_VERSION) < member.version
        ),
        tuple(
            fact
            for fact in held.known
            if fact.name not in orders or orders[fact.name] < fact.order
        ),
    )
