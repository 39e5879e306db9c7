"""A request whose protocol is not known: bytes on their way to an engine."""

__all__ = ["OpaqueRequest"]

import dataclasses

import xxhash

from camphortray import engine
from camphortray import routemap


@dataclasses.dataclass(frozen=True, slots=True)
class OpaqueRequest:
    """What a caller sent, with what its route says of it.

    Attributes:
      id: Of this attempt of the caller; engines echo it.
      route: Where it goes and what may be repeated.
      method: HTTP method.
      target: Path and query.
      headers: The caller's headers that travel on.
      body: As sent.
      arrived_at: Monotonic seconds.
      deadline_at: When the caller, or the operator, gives up waiting.
      prefix: Tells the leading parts of the prompt; empty if not known.
      key_hash: Of the key that the caller shows; empty if it shows none.
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

    @property
    def fingerprint(self) -> str:
        """What stays when a caller sends the same once more."""
        digest = xxhash.xxh3_128(self.target.encode())
        digest.update(self.body)
        return digest.hexdigest()

    def for_engine(
        self, now: float, resume_after: str, silence_s: float, workspace: str
    ) -> engine.EngineRequest:
        """Return what is sent to an engine now, on behalf of a workspace."""
        return engine.EngineRequest(
            self.id,
            self.target,
            self.body,
            self.route.kind is routemap.Kind.STREAM,
            max(0.001, self.deadline_at - now),
            silence_s=silence_s,
            method=self.method,
            headers=self.headers,
            resume_after=resume_after,
            repeatable=self.route.repeatable,
            workspace=workspace,
        )
