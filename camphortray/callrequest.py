"""A non-idempotent call as it is claimed, and why it may be refused."""

__all__ = ["CallRequest", "no_answer", "other_request", "unconfirmed"]

import dataclasses

import xxhash

from camphortray import errors


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """A non-idempotent call.

    Attributes:
      workspace: Whose it is.
      service: Which service it is for.
      key: The caller's idempotency key.
      digest: Of method, target and body.
      keep_s: How long claim and answer are kept.
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
        """Build from what makes up the request."""
        hasher = xxhash.xxh3_128()
        for part in content:
            hasher.update(len(part).to_bytes(8, "big"))
            hasher.update(part)
        return cls(workspace, service, key, hasher.hexdigest(), keep_s)

    @property
    def name(self) -> str:
        """Key in the fold."""
        return f"{self.workspace}/{self.service}/{self.key}"


def other_request() -> errors.Refused:
    """Return the refusal of another request under a key in use."""
    return errors.Refused(
        409,
        "other_request",
        "another request was sent under this key",
        field="Idempotency-Key",
    )


def no_answer(reason: str) -> errors.Refused:
    """Return the refusal of a call claimed before whose end is open."""
    return errors.Refused(
        409,
        "call_unknown",
        f"claimed before, and {reason}",
        field="Idempotency-Key",
        ran="unknown",
        retry_after=1,
    )


def unconfirmed(reason: str) -> errors.Refused:
    """Return the refusal of a call whose claim did not stand."""
    return errors.Refused(
        503,
        "claim_unconfirmed",
        f"the call could not be claimed: {reason}",
        retry_after=1,
    )
