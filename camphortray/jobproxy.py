"""Forwards job calls from the entry role to a batch role."""

__all__ = ["JobProxy", "candidates"]

from typing import ClassVar

from camphortray import config as configs
from camphortray import errors
from camphortray import forward
from camphortray import httpclient
from camphortray import kernel
from camphortray import logs
from camphortray import membership
from camphortray import ring
from camphortray import web

LOG = logs.logger("jobproxy")

PREFIXES = ("/v1/jobs", "/v1/files", "/v1/batches")
TIMEOUTS = httpclient.Timeouts(1.0, 120.0, 120.0)
# For calls that only read, which are safe to retry at another batch role.
READ_TIMEOUTS = httpclient.Timeouts(1.0, 10.0, 60.0)
READ_METHODS = frozenset({"GET", "HEAD"})
# Most batch roles that are tried for one call.
MAX_TRIES = 3


@kernel.PARTS.register("entry")
class JobProxy(kernel.Part):
    """Forwards job calls as streams, without buffering whole bodies."""

    name: ClassVar[str] = "jobproxy"
    requires: ClassVar[tuple[str, ...]] = ("routes", "membership")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.client = httpclient.HttpClient(TIMEOUTS)
        self.members = context.part(membership.Membership)
        routes = context.part(web.Routes)
        for prefix in PREFIXES:
            for path in (prefix, prefix + "/{rest...}"):
                routes.add("*", path, web.Access.WORKSPACE, self.forward)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "JobProxy":
        return cls(context)

    def targets(self) -> list[configs.Address]:
        """Return the batch roles to try, in order."""
        config = self.context.config
        own = self.members.member(f"{config.host.name}/batch")
        addresses = candidates(config.host, self.members.live("batch"))
        if own is None or not (own.http_address or own.dead):
            # Right after a start the address may not have been gossiped yet,
            # and the call would be refused although the role is alive. If it
            # is not, the connection is refused at once and nothing ran.
            addresses.insert(0, config.batch.advertise or config.batch.listen)
        return [
            configs.Address.from_text(text) for text in addresses[:MAX_TRIES]
        ]

    async def forward(self, call: web.Call) -> None:
        """Forward a call to the first batch role that answers.

        A call that may have run is not retried unless it only reads.

        Raises:
          Refused: no batch role answered.
        """
        refusal = errors.Refused(
            503, "no_batch", "no batch role is alive", retry_after=1
        )
        for target in self.targets():
            try:
                answer = await self.send(call, target)
            except errors.UpstreamBroken as error:
                LOG.info("No answer from a batch role: {}", error)
                refusal = refusal_of(error)
                if error.ran and call.request.method not in READ_METHODS:
                    break
            else:
                await forward.copy(call, answer)
                return
        raise refusal

    async def send(
        self, call: web.Call, target: configs.Address
    ) -> httpclient.ClientResponse:
        """Send a call and return the head of its answer.

        A call that may change state uses a new connection. If a kept one
        were dead, it would be unknown whether the call ran, and it could
        not be retried.

        Raises:
          UpstreamBroken: the batch role did not answer.
        """
        request = call.request
        read_only = request.method in READ_METHODS
        headers = [
            (name, value)
            for name, value in request.headers.items()
            if name not in forward.HOP_HEADERS
            and name not in forward.OWN_HEADERS
        ]
        headers += web.host_headers(self.context.config, call.caller)
        limit = self.context.config.batch.max_job_bytes
        return await self.client.request(
            target,
            request.method,
            request.target,
            headers,
            request.iter_body(limit)
            if forward.has_body(request.headers)
            else b"",
            timeouts=READ_TIMEOUTS if read_only else TIMEOUTS,
            fresh=not read_only,
        )

    async def stop(self) -> None:
        await self.client.close()


def candidates(
    own: configs.HostConfig, live: list[membership.Member]
) -> list[str]:
    """Return the addresses of batch roles: this host's own, then others.

    Suspected ones come after all that are alive, and other availability
    zones after the own one. Each host orders the rest differently, so that
    the calls of a failed role are spread.
    """

    def rank(member: membership.Member) -> tuple[bool, bool, bool, int]:
        return (
            member.status is not membership.Status.ALIVE,
            member.host != own.name,
            member.availability_zone != own.availability_zone,
            -ring.score(own.name, member.name),
        )

    return [m.http_address for m in sorted(live, key=rank) if m.http_address]


def refusal_of(error: errors.UpstreamBroken) -> errors.Refused:
    """Return the refusal for a call that a batch role did not answer."""
    ran = "unknown" if error.ran else "no"
    return errors.Refused(503, "no_batch", str(error), ran=ran, retry_after=1)
