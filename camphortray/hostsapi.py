"""What operators see of the hosts, and how they drain one."""

__all__ = ["HostsApi"]

import asyncio
import contextlib
from typing import Any
from typing import ClassVar

from camphortray import config as configs
from camphortray import errors
from camphortray import gossip
from camphortray import httpclient
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import peers
from camphortray import web

LOG = logs.logger("hosts")
# Members asked for their revision at once, and the longest wait for one.
AT_ONCE = 16
ASK_S = 1.0
# Longest wait for all of them.
ALL_S = 10.0
TIMEOUTS = httpclient.Timeouts(1.0, 5.0, 5.0)


@kernel.PARTS.register("entry", "batch")
class HostsApi(kernel.Part):
    """``GET /v1/admin/hosts`` and ``POST /v1/admin/drain``."""

    name: ClassVar[str] = "hostsapi"
    requires: ClassVar[tuple[str, ...]] = ("routes", "membership")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.members = context.part(membership.Membership)
        self.links = context.part(peers.Peers)
        self.client = httpclient.HttpClient(TIMEOUTS)
        routes = context.part(web.Routes)
        access = web.Access.OPERATOR
        routes.add("GET", "/v1/admin/hosts", access, self.hosts)
        routes.add("POST", "/v1/admin/drain", access, self.drain_host)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "HostsApi":
        return cls(context)

    async def hosts(self, call: web.Call) -> None:
        """List all members with the settings revision in force there.

        Revisions are not gossiped: with every change each host would
        tell all others. They are asked for here, as operators look.
        """
        await self.ask_revisions()
        listed = {line.name: line.status for line in self.members.listed}
        shown = [
            describe(member, listed.get(member.host, ""))
            for _, member in sorted(self.members.members.items())
        ]
        call.response.send_json(200, {"members": shown})

    async def ask_revisions(self) -> None:
        """Ask all members at their addresses, a few at a time."""
        room = asyncio.Semaphore(AT_ONCE)
        asked = [
            self.ask_revision(member, room)
            for member in self.members.node.known.directory.present()
            if member.name != self.members.own_name
        ]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ALL_S):
                await asyncio.gather(*asked)

    async def ask_revision(
        self, member: membership.Member, room: asyncio.Semaphore
    ) -> None:
        """Ask one member; one that does not answer keeps what it had."""
        node = self.members.node
        address = configs.Address.from_text(member.peer_address)
        message = gossip.Ping(node.known.own.incarnation, node.known.digest)
        async with room:
            with contextlib.suppress(errors.MessageError):
                pong = await self.links.ask_anew(address, message, ASK_S)
                node.known.directory.note_revision(member.name, pong.revision)

    async def drain_host(self, call: web.Call) -> None:
        """Drain both programs of this host, as SIGTERM does."""
        programs = [self.context.program]
        if self.context.program == "entry" and await self.drain_batch(call):
            programs.append("batch")
        LOG.notice("An operator drains this host.")
        self.context.request_drain()
        call.response.send_json(202, {"draining": programs})

    async def drain_batch(self, call: web.Call) -> bool:
        """Have this host's batch program drain, if it runs."""
        host = self.context.config.host.name
        batch = self.members.member(f"{host}/batch")
        if batch is None or batch.dead or not batch.http_address:
            return False
        address = configs.Address.from_text(batch.http_address)
        headers = web.host_headers(self.context.config, call.caller)
        try:
            status, _, _ = await self.client.call(
                address, "POST", "/v1/admin/drain", headers
            )
        except errors.UpstreamError as error:
            LOG.warning("The batch program was not told: {}", error)
            return False
        return status == 202

    async def stop(self) -> None:
        await self.client.close()


def describe(member: membership.Member, listed: str) -> dict[str, Any]:
    """Return a member as operators see it."""
    return {
        "name": member.name,
        "status": str(member.status),
        "availability_zone": member.availability_zone,
        "capacity": member.capacity,
        "http_address": member.http_address,
        "peer_address": member.peer_address,
        "incarnation": member.incarnation,
        "revision": member.revision,
        "listed": listed,
    }
