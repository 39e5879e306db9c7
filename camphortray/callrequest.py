"""The request of a non-idempotent call, and the refusals of calls."""

__all__ = ["CallRequest", "no_answer", "other_request", "unconfirmed"]

import dataclasses

import xxhash

from camphortray import errors


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """A non-idempotent call.

    Attributes:
      workspace: The caller's workspace.
      service: Name of the service that is called.
      key: The caller's idempotency key.
      digest: Hash of method, target and body.
      keep_s: Seconds for which claim and answer are stored.
    """

    workspace: str
    service: str
    key: str
    digest: str
    keep_s: float

    @classmethod
    def of(
        cls,
        workspace: str,
        service: str,
        key: str,
        keep_s: float,
        *content: bytes,
    ) -> "CallRequest":
        """Build a request; ``content`` is what its digest covers."""
        hasher = xxhash.xxh3_128()
        for part in content:
            hasher.update(len(part).to_bytes(8, "big"))
            hasher.update(part)
        return cls(workspace, service, key, hasher.hexdigest(), keep_s)

    @property
    def name(self) -> str:
        """Key of the call in the log ``calls.N``."""
        return f"{self.workspace}/{self.service}/{self.key}"


def other_request() -> errors.Refused:
    """Return the refusal of a request whose key another request used."""
    return errors.Refused(
        409,
        "other_request",
        "another request was sent under this key",
        field="Idempotency-Key",
    )


def no_answer(reason: str) -> errors.Refused:
    """Return the refusal of a retry whose call has no known answer."""
    return errors.Refused(
        409,
        "call_unknown",
        f"claimed before, and {reason}",
        field="Idempotency-Key",
        ran="unknown",
        retry_after=1,
    )


def unconfirmed(reason: str) -> errors.Refused:
    """Return the refusal of a call whose claim was not confirmed."""
    return errors.Refused(
        503,
        "claim_unconfirmed",
        f"the call could not be claimed: {reason}",
        retry_after=1,
    )
