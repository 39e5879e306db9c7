"""Passes job calls from the entry role to a batch role."""

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
# For calls that only read: these may be asked again elsewhere.
READ_TIMEOUTS = httpclient.Timeouts(1.0, 10.0, 60.0)
READS = frozenset({"GET", "HEAD"})
# Batch roles tried for one call.
MAX_TRIES = 3


@kernel.PARTS.register("entry")
class JobProxy(kernel.Part):
    """Streams job calls both ways; nothing is held whole."""

    name: ClassVar[str] = "jobproxy"
    requires: ClassVar[tuple[str, ...]] = ("routes", "membership")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.client = httpclient.HttpClient(TIMEOUTS)
        self.members = context.part(membership.Membership)
        routes = context.part(web.Routes)
        for prefix in PREFIXES:
            for path in (prefix, prefix + "/{rest...}"):
                routes.add("*", path, web.Access.WORKSPACE, self.pass_on)

    @classmethod
    def from_config(cls, context: kernel.Context) -> "JobProxy":
        return cls(context)

    def targets(self) -> list[configs.Address]:
        """Return the batch roles to try, in order."""
        config = self.context.config
        held = self.members.member(f"{config.host.name}/batch")
        texts = candidates(config.host, self.members.live("batch"))
        if held is None or not (held.http_address or held.dead):
            # It may have started a moment ago and not have told its
            # address yet: the caller would hear that no batch role is
            # alive. A refused connection is soon told and proves that
            # nothing ran.
            texts.insert(0, config.batch.advertise or config.batch.listen)
        return [configs.Address.from_text(text) for text in texts[:MAX_TRIES]]

    async def pass_on(self, call: web.Call) -> None:
        """Pass one call on to the first batch role that takes it."""
        refusal = errors.Refused(
            503, "no_batch", "no batch role is alive", retry_after=1
        )
        for target in self.targets():
            try:
                answer = await self.send(call, target)
            except errors.UpstreamBroken as error:
                LOG.info("No answer: {}", error)
                refusal = refusal_of(error)
                if error.ran and call.request.method not in READS:
                    break
            else:
                await forward.copy(call, answer)
                return
        raise refusal

    async def send(
        self, call: web.Call, target: configs.Address
    ) -> httpclient.ClientResponse:
        """Send a call and return the head of its answer.

        What may change something goes over a new connection: on a kept
        one that went silent it could not be told whether it ran, and
        then nobody may send it again.
        """
        request = call.request
        reads = request.method in READS
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
            timeouts=READ_TIMEOUTS if reads else TIMEOUTS,
            fresh=not reads,
        )

    async def stop(self) -> None:
        await self.client.close()


def candidates(
    own: configs.HostConfig, live: list[membership.Member]
) -> list[str]:
    """Return the addresses of batch roles: this host's own, then others.

    A suspected one comes after all that are well, and those in other
    availability zones after the near ones. Entries of different hosts
    order them differently, so that a lost role's work is spread.
    """

    def place(member: membership.Member) -> tuple[bool, bool, bool, int]:
        return (
            member.status is not membership.Status.ALIVE,
            member.host != own.name,
            member.availability_zone != own.availability_zone,
            -ring.score(own.name, member.name),
        )

    return [m.http_address for m in sorted(live, key=place) if m.http_address]


def refusal_of(error: errors.UpstreamBroken) -> errors.Refused:
    """Return the refusal that tells a caller of a broken call."""
    ran = "unknown" if error.ran else "no"
    return errors.Refused(503, "no_batch", str(error), ran=ran, retry_after=1)
