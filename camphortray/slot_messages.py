"""Messages about the slots of a service between hosts and coordinators.

Clocks of hosts differ, so times are sent relative to the time of sending.
"""

__all__ = [
    "LeaseEnd",
    "LeaseReport",
    "LimitUpdate",
    "SlotAsk",
    "SlotDecisions",
    "StreamAnswer",
    "StreamAsk",
    "StreamUpdate",
    "WireAdmission",
    "WireLease",
    "WireRequest",
    "streams_of",
    "versions_of",
]

from collections.abc import Iterable
import itertools
import math
from typing import NamedTuple

import msgspec

from camphortray import enginehealth
from camphortray import errors
from camphortray import messages
from camphortray import request_limits
from camphortray import slot_scheduler
from camphortray import stream_versions

# Sent instead of infinity for a request without a due time.
NO_DUE_TIME_S = -1.0


class WireRequest(NamedTuple):
    """A ``slot_scheduler.SlotRequest`` as sent, encoded as an array.

    Attributes:
      age_ms: Time since the slot was first asked for.
      due_s: Time until the due time, or ``NO_DUE_TIME_S``.
    """

    id: str
    online: bool
    priority: int
    age_ms: int
    objective_ms: int
    left_ms: int
    due_s: float
    work_ms: int
    prefix: str
    avoid: tuple[str, ...]
    zone: str = ""
    made_ms: int = 0
    start_ms: int = 0

    @classmethod
    def of(cls, want: slot_scheduler.SlotRequest, now: float) -> "WireRequest":
        """Return the encoding of a request."""
        due_s = want.due_at - now
        return cls(
            want.id,
            want.online,
            want.priority,
            round((now - want.asked_at) * 1000),
            round(want.objective_s * 1000),
            round(want.left_s * 1000),
            NO_DUE_TIME_S if math.isinf(due_s) else round(due_s, 3),
            round(want.work_s * 1000),
            want.prefix,
            tuple(want.avoid),
            want.zone,
            round(want.made_s * 1000),
            round(want.start_s * 1000),
        )

    def want(self, holder: str, now: float) -> slot_scheduler.SlotRequest:
        """Return the request of a holder that this encodes."""
        return slot_scheduler.SlotRequest(
            self.id,
            holder,
            self.online,
            self.priority,
            now - self.age_ms / 1000,
            self.objective_ms / 1000,
            self.left_ms / 1000,
            math.inf if self.due_s == NO_DUE_TIME_S else now + self.due_s,
            self.work_ms / 1000,
            self.prefix,
            frozenset(self.avoid),
            self.zone,
            self.made_ms / 1000,
            self.start_ms / 1000,
        )


def named_requests(
    wires: Iterable[WireRequest],
    owners: Iterable[tuple[str, str]],
    versions: Iterable[tuple[str, str]],
    streams: Iterable[str | None],
    holder: str,
    now: float,
) -> list[slot_scheduler.SlotRequest]:
    """Return the requests of a holder with all that is sent beside them.

    Args:
      wires: The requests as sent.
      owners: Ids of requests, each with its workspace.
      versions: Ids of requests, each with the software version it needs.
      streams: See ``streams_of``.
      holder: Host that sent them.
      now: Present time.
    """
    workspace_of, version_of = dict(owners), dict(versions)
    return [
        msgspec.structs.replace(
            wire.want(holder, now),
            workspace=workspace_of.get(wire.id, ""),
            version=version_of.get(wire.id, ""),
            stream=attempt_of(wire.id) if stream == "" else stream or "",
        )
        for wire, stream in itertools.zip_longest(wires, streams)
    ]


def attempt_of(want_id: str) -> str:
    """Return the id of a caller's attempt, from that of a slot request.

    >>> attempt_of("a.b.0-1")
    'a.b'
    """
    return want_id.rpartition(".")[0]


def streams_of(
    wants: Iterable[slot_scheduler.SlotRequest],
) -> tuple[str | None, ...]:
    """Return the attempt that began the stream of each request, in order.

    An empty text stands for the request's own attempt, None for a request
    whose stream cannot be resumed; nothing is returned if none can.
    """
    found = tuple(
        None
        if not want.stream
        else want.stream * (want.stream != attempt_of(want.id))
        for want in wants
    )
    return found if any(stream is not None for stream in found) else ()


def versions_of(
    wants: Iterable[slot_scheduler.SlotRequest],
) -> tuple[tuple[str, str], ...]:
    """Return the ids of requests that need a version, each with it."""
    return tuple((want.id, want.version) for want in wants if want.version)


class WireLease(NamedTuple):
    """A lease as sent, encoded as an array."""

    want: WireRequest
    engine: str
    age_ms: int


class WireAdmission(NamedTuple):
    """A ``request_limits.Admission`` as sent, encoded as an array."""

    id: str
    workspace: str
    age_ms: int

    @classmethod
    def of(
        cls, request: request_limits.Admission, now: float
    ) -> "WireAdmission":
        """Return the encoding of an admission."""
        age_ms = round((now - request.at) * 1000)
        return cls(request.id, request.workspace, age_ms)

    def admission(self, now: float) -> request_limits.Admission:
        """Return the admission that this encodes."""
        at = now - self.age_ms / 1000
        return request_limits.Admission(self.id, self.workspace, at)


@messages.message("place.ask")
class SlotAsk(msgspec.Struct, frozen=True):
    """Asks a coordinator for slots.

    Attributes:
      service: Service whose slots are asked for.
      address: Peer address of the sender, for later decisions.
      wants: Requests for slots; none to check that the coordinator responds.
      workspaces: Ids of the requests that count against the limit of their
        workspace, each with the workspace. One that is not in ``wants`` is
        only counted here.
      owners: Ids of the other requests, each with its workspace.
      versions: Ids of requests, each with the software version it needs.
      streams: See ``streams_of``; of ``wants``.
    """

    service: str
    address: str
    wants: tuple[WireRequest, ...]
    workspaces: tuple[tuple[str, str], ...] = ()
    owners: tuple[tuple[str, str], ...] = ()
    versions: tuple[tuple[str, str], ...] = ()
    streams: tuple[str | None, ...] = ()

    @classmethod
    def of(
        cls,
        service: str,
        address: str,
        want: slot_scheduler.SlotRequest,
        now: float,
    ) -> "SlotAsk":
        """Return the message that asks for a slot."""
        named = ((want.id, want.workspace),) if want.workspace else ()
        return cls(
            service,
            address,
            (WireRequest.of(want, now),),
            named if want.counts else (),
            () if want.counts else named,
            versions_of((want,)),
            streams_of((want,)),
        )

    def requests(
        self, holder: str, now: float
    ) -> list[slot_scheduler.SlotRequest]:
        """Return the requests for slots."""
        counted = dict(self.workspaces)
        owners = (*self.owners, *self.workspaces)
        return [
            msgspec.structs.replace(request, counts=request.id in counted)
            for request in named_requests(
                self.wants, owners, self.versions, self.streams, holder, now
            )
        ]

    def counted_only(self, holder: str) -> list[slot_scheduler.SlotRequest]:
        """Return the requests that get their slots elsewhere."""
        asked = {wire.id for wire in self.wants}
        return [
            slot_scheduler.SlotRequest(name, holder, True, workspace=workspace)
            for name, workspace in self.workspaces
            if name not in asked
        ]


@messages.message("place.end")
class LeaseEnd(msgspec.Struct, frozen=True):
    """Notifies a coordinator of the end of a waiting request or lease.

    Attributes:
      outcome: How the lease ended; ``GOOD`` if the engine has failed the
        request, since earlier releases do not know ``FAILED``.
      failed: Whether the engine has failed the request.
      unused: Workspace of a request that was sent to no engine, and so does
        not count against its limit; else empty.
      pace_us: Mean microseconds between the events of its stream; 0 if they
        are too few.
    """

    service: str
    id: str
    outcome: enginehealth.Outcome
    failed: bool = False
    unused: str = ""
    pace_us: int = 0

    @classmethod
    def of(
        cls,
        service: str,
        request_id: str,
        outcome: enginehealth.Outcome,
        unused: str = "",
        pace_s: float = 0.0,
    ) -> "LeaseEnd":
        """Return the message about a lease that has ended."""
        failed = outcome is enginehealth.Outcome.FAILED
        if failed:
            outcome = enginehealth.Outcome.GOOD
        pace_us = round(pace_s * 1e6)
        return cls(service, request_id, outcome, failed, unused, pace_us)

    @property
    def lease_outcome(self) -> enginehealth.Outcome:
        """How the lease ended."""
        return enginehealth.Outcome.FAILED if self.failed else self.outcome


@messages.message("place.report")
class LeaseReport(msgspec.Struct, frozen=True):
    """Reports all leases and waiting requests of the sender.

    Attributes:
      admitted: Recent requests counted by other coordinators.
      owners: Ids of leases and waiting requests, each with its workspace.
      versions: Ids of waiting requests, each with the software version it
        needs.
      streams: See ``streams_of``; of the leases, then the waiting requests.
    """

    service: str
    address: str
    leases: tuple[WireLease, ...]
    wants: tuple[WireRequest, ...]
    admitted: tuple[WireAdmission, ...] = ()
    owners: tuple[tuple[str, str], ...] = ()
    versions: tuple[tuple[str, str], ...] = ()
    streams: tuple[str | None, ...] = ()

    def requests(
        self, holder: str, now: float
    ) -> list[slot_scheduler.SlotRequest]:
        """Return the waiting requests."""
        streams = self.streams[len(self.leases) :]
        return named_requests(
            self.wants, self.owners, self.versions, streams, holder, now
        )

    def held(self, holder: str, now: float) -> list[slot_scheduler.Lease]:
        """Return the leases."""
        wires = [lease.want for lease in self.leases]
        streams = self.streams[: len(wires)]
        requests = named_requests(wires, self.owners, (), streams, holder, now)
        return [
            slot_scheduler.Lease(
                request, lease.engine, now - lease.age_ms / 1000
            )
            for request, lease in zip(requests, self.leases, strict=True)
        ]


class WireChange(NamedTuple):
    """A ``request_limits.Change`` as sent, encoded as an array."""

    workspace: str
    digest: int
    age_ms: int
    withdrawn: bool = False

    @classmethod
    def of(cls, change: request_limits.Change, now: float) -> "WireChange":
        """Return the encoding of a change."""
        age_ms = round((now - change.count.at) * 1000)
        return cls(
            change.workspace, change.count.digest, age_ms, change.withdrawn
        )

    def change(self, now: float) -> request_limits.Change:
        """Return the change that this encodes."""
        count = request_limits.Count(self.digest, now - self.age_ms / 1000)
        return request_limits.Change(self.workspace, count, self.withdrawn)


@messages.message("place.limits")
class LimitUpdate(msgspec.Struct, frozen=True):
    """Tells a standby what a coordinator counts against limits.

    Attributes:
      since_ms: Milliseconds since the coordinator began to count.
      changes: What has changed since the last update that was answered.
    """

    service: str
    since_ms: int
    changes: tuple[WireChange, ...] = ()


@messages.message("stream.ask")
class StreamAsk(msgspec.Struct, frozen=True):
    """Asks at which software version a stream began.

    Attributes:
      service: Service of the stream.
      digest: Digest of the id of the attempt that began it.
      keep_ms: Longest time for which it may have lasted.
    """

    service: str
    digest: int
    keep_ms: int


@messages.message("stream.answer")
class StreamAnswer(msgspec.Struct, frozen=True):
    """What a host knows of a stream.

    Attributes:
      version: Software version at which it began; empty if its engine told
        none.
      known: Whether the host knows the stream.
      versions: Versions that served while it may have lasted.
      ambiguous: Whether the host knows the stream, but not which of several
        versions began it.
      seen: Whether the host has received events of the stream.
      lived: Whether the host has known the engines for as long as the stream
        may have lasted, so that ``versions`` names all that served.
      earlier: Versions that had served before the host started, by the
        store's record; None if it has not read that, or it does not tell.
      followed: Whether the host was in reach of the store all that time.
      holder: Member that asked for the slot of the stream, if it is known.
    """

    version: str = ""
    known: bool = False
    versions: tuple[str, ...] = ()
    ambiguous: bool = False
    seen: bool = False
    lived: bool = False
    earlier: tuple[str, ...] | None = None
    followed: bool = False
    holder: str = ""


@messages.message("stream.update")
class StreamUpdate(msgspec.Struct, frozen=True):
    """Tells a standby at which versions streams began.

    Attributes:
      service: Service of the streams.
      versions: Versions that ``streams`` refers to.
      streams: Digest, index of the version, and milliseconds for which the
        stream may still be taken up, of each.
      holders: Members that ``held_by`` refers to.
      held_by: Index of the member that asked for its slot, of each; none
        from an earlier release.
    """

    service: str
    versions: tuple[str, ...]
    streams: tuple[tuple[int, int, int], ...]
    holders: tuple[str, ...] = ()
    held_by: tuple[int, ...] = ()

    @classmethod
    def of(
        cls,
        service: str,
        begun: Iterable[stream_versions.Begun],
        now: float,
    ) -> "StreamUpdate":
        """Return the message about some streams."""
        index: dict[str, int] = {}
        holders: dict[str, int] = {}
        streams, held_by = [], []
        for stream in begun:
            if stream.version is not None:
                number = index.setdefault(stream.version, len(index))
                left_ms = round((stream.until - now) * 1000)
                streams.append((stream.digest, number, left_ms))
                held_by.append(holders.setdefault(stream.holder, len(holders)))
        return cls(
            service,
            tuple(index),
            tuple(streams),
            tuple(holders),
            tuple(held_by),
        )

    def begun(self, now: float, source: str) -> list[stream_versions.Begun]:
        """Return the streams, recorded by a member."""
        held_by = [self.holders[index] for index in self.held_by]
        if len(held_by) != len(self.streams):
            held_by = [""] * len(self.streams)
        return [
            stream_versions.Begun(
                digest,
                self.versions[index],
                now + left_ms / 1000,
                source,
                holder=holder,
            )
            for (digest, index, left_ms), holder in zip(
                self.streams, held_by, strict=True
            )
        ]


@messages.message("place.word")
class SlotDecisions(msgspec.Struct, frozen=True):
    """Decisions on the requests of a holder, as a reply or sent later.

    Attributes:
      service: Service of the requests.
      granted: Engine by request id.
      refused: Seconds after which to retry, by request id.
      revoked: Request ids of the leases that are revoked.
      over_limit: Request ids in ``refused`` whose workspace has reached its
        limit.
      provisional: Request ids in ``refused`` that were refused by a share.
    """

    service: str
    granted: dict[str, str] = msgspec.field(default_factory=dict)
    refused: dict[str, float] = msgspec.field(default_factory=dict)
    revoked: tuple[str, ...] = ()
    over_limit: tuple[str, ...] = ()
    provisional: tuple[str, ...] = ()

    @classmethod
    def of(
        cls,
        service: str,
        decisions: Iterable[slot_scheduler.Decision],
        by_share: bool = False,
    ) -> "SlotDecisions":
        """Return the message with decisions on the requests of a holder.

        Args:
          service: Service of the requests.
          decisions: The decisions.
          by_share: Whether the coordinator grants a share of the slots only.
        """
        granted: dict[str, str] = {}
        refused: dict[str, float] = {}
        revoked: list[str] = []
        over_limit: list[str] = []
        provisional: list[str] = []
        for decision in decisions:
            want_id = decision.want.id
            if isinstance(decision, slot_scheduler.Grant):
                granted[want_id] = decision.engine
            elif isinstance(decision, slot_scheduler.Revoke):
                revoked.append(want_id)
            else:
                refused[want_id] = decision.retry_after_s
                if isinstance(decision, slot_scheduler.Throttle):
                    ids = over_limit if decision.certain else provisional
                    ids.append(want_id)
                elif by_share:
                    provisional.append(want_id)
        return cls(
            service,
            granted,
            refused,
            tuple(revoked),
            tuple(over_limit),
            tuple(provisional),
        )

    def refusal(self, request_id: str) -> errors.NoSlot:
        """Return the error of a refused request."""
        retry_after_s = self.refused[request_id]
        if request_id in self.over_limit:
            return errors.RateExceeded(
                "the workspace has reached its limit of requests",
                retry_after_s,
            )
        provisional = request_id in self.provisional
        return errors.NoSlot("no room in time", retry_after_s, provisional)
