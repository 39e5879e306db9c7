"""Requests that are forwarded to an engine without parsing their body."""

__all__ = ["OpaqueRequest", "fingerprint_of"]


import msgspec
import xxhash

from camphortray import engine
from camphortray import routemap


class OpaqueRequest(msgspec.Struct, frozen=True):
    """A caller's request and its route.

    Attributes:
      id: Id of this attempt of the caller; engines echo it.
      route: Route of the request; names its service and limits, and tells
        whether the request may be repeated.
      method: HTTP method.
      target: Path and query.
      headers: The caller's headers to forward.
      body: Body as received.
      arrived_at: Arrival, in monotonic seconds.
      deadline_at: Deadline of the caller or the route, in monotonic seconds.
      prefix: Identifies the leading parts of the prompt; empty if unknown.
      key_hash: Hash of the caller's key; empty if it sent none.
      resumes: Id of the attempt that brought the first event of the stream
        that the caller takes up again; empty if it names none.
      resume_after: Id of the last event that the caller has of that stream;
        empty for a new stream.
      segments: Prompt segments that it shares with others, in order.
    """

    id: str
    route: routemap.Route
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_at: float
    deadline_at: float
    prefix: str = ""
    key_hash: str = ""
    resumes: str = ""
    resume_after: str = ""
    segments: tuple[str, ...] = ()

    @property
    def taken_up(self) -> bool:
        """Whether the caller takes up a stream that it names."""
        return bool(
            self.resumes and self.resume_after and self.route.resumable
        )

    @property
    def stream(self) -> str:
        """Id of the attempt that began the stream; empty if it is none."""
        if not self.route.resumable:
            return ""
        return self.resumes if self.taken_up else self.id

    @property
    def fingerprint(self) -> str:
        """Digest of target and body, equal for repeats of a request."""
        return fingerprint_of(self.target, self.body)

    def for_engine(
        self, now: float, resume_after: str, workspace: str
    ) -> engine.EngineRequest:
        """Return the request to send to an engine.

        Args:
          now: Monotonic seconds.
          resume_after: Id of the last event received; empty for none.
          workspace: Workspace that the request runs for.
        """
        return engine.EngineRequest(
            self.id,
            self.target,
            self.body,
            self.route.kind is routemap.Kind.STREAM,
            max(0.001, self.deadline_at - now),
            method=self.method,
            headers=self.headers,
            resume_after=resume_after,
            repeatable=self.route.repeatable,
            workspace=workspace,
            resumable=bool(self.stream),
        )


def fingerprint_of(target: str, body: bytes) -> str:
    """Return a digest of target and body, equal for repeats of a request."""
    digest = xxhash.xxh3_128(target.encode())
    digest.update(body)
    return digest.hexdigest()
