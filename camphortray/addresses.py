"""Tells callers which addresses to use: ``GET /v1/hosts``."""

__all__ = ["Addresses", "choose"]

import itertools
from typing import ClassVar

from camphortray import errors
from camphortray import host_capacity
from camphortray import kernel
from camphortray import membership
from camphortray import ring
from camphortray import shards
from camphortray import web

# Addresses in an answer where the caller asks for no other number.
DEFAULT_LIMIT = 12
MAX_LIMIT = 1000
# Share of an answer from the caller's own availability zone. The rest is
# spread over the others, for a caller whose zone is lost while it keeps
# the answer.
NEAR_SHARE = 2 / 3


def choose(
    live: list[membership.Member], zone: str, caller: str, limit: int
) -> list[membership.Member]:
    """Return the members a caller should try, in this order.

    The order within a zone is a rendezvous hash of the caller, weighted by
    the size of the hosts, so that the callers of a lost host move to all
    others alike, and the callers of the others do not move at all.

    Args:
      live: Members to choose from.
      zone: Availability zone of the caller.
      caller: Anything that stays the same for a caller.
      limit: Most members to return.
    """
    weights = host_capacity.weights_of(live)
    ranked = sorted(
        (m for m in live if m.http_address),
        key=lambda m: shards.weighted_score(
            ring.score(caller, m.name), weights[m.name]
        ),
        reverse=True,
    )
    well = [m for m in ranked if m.status is membership.Status.ALIVE]
    near = [m for m in well if m.availability_zone == zone]
    far = by_turns([m for m in well if m.availability_zone != zone])
    room = max(round(limit * NEAR_SHARE), limit - len(far))
    chosen = [*near[:room], *far]
    # A suspected host may be well; it is better than none.
    doubtful = [m for m in ranked if m.status is not membership.Status.ALIVE]
    return [*chosen[:limit], *doubtful][:limit]


def by_turns(ranked: list[membership.Member]) -> list[membership.Member]:
    """Return members in their order, but zone after zone."""
    zones: dict[str, list[membership.Member]] = {}
    for member in ranked:
        zones.setdefault(member.availability_zone, []).append(member)
    turns = itertools.zip_longest(*zones.values())
    return [member for turn in turns for member in turn if member is not None]


@kernel.PARTS.register("entry")
class Addresses(kernel.Part):
    """Answers callers that ask where to connect."""

    name: ClassVar[str] = "addresses"
    requires: ClassVar[tuple[str, ...]] = ("routes", "membership")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.members = context.part(membership.Membership)
        routes = context.part(web.Routes)
        routes.add("GET", "/v1/hosts", web.Access.OPEN, self.hosts)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "Addresses":
        return cls(context)

    async def hosts(self, call: web.Call) -> None:
        """Tell the addresses to use, and for how long.

        Query fields: ``availability_zone`` of the caller, else this
        host's; ``caller``, any text that names it, else every answer has
        an order of its own; ``limit``.
        """
        query = call.request.query
        config = self.context.config
        chosen = choose(
            self.members.live("entry"),
            query.get("availability_zone", config.host.availability_zone),
            query.get("caller", call.request.id),
            limit_of(query.get("limit", str(DEFAULT_LIMIT))),
        )
        hosts = [
            {
                "address": member.http_address,
                "availability_zone": member.availability_zone,
            }
            for member in chosen
        ]
        call.response.send_json(
            200, {"hosts": hosts, "keep_s": config.entry.keep_s}
        )


def limit_of(text: str) -> int:
    """Return the number of addresses a caller asks for.

    Raises:
      Refused: it is not a number that makes sense.
    """
    if text.isascii() and text.isdigit() and 0 < int(text) <= MAX_LIMIT:
        return int(text)
    raise errors.Refused(
        400, "bad_field", f"limit must be 1 to {MAX_LIMIT}", field="limit"
    )
