"""Prompt prefixes, by which requests are routed to a warm KV cache."""

__all__ = ["BLOCK_CHARS", "Prefix", "prefix_of"]

import dataclasses

import xxhash

# Characters of one block. Prompts that share a preamble of at least one
# block prefer the same upstream.
BLOCK_CHARS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """The prefix of one prompt.

    Attributes:
      key: Hash of the model and the first block, which determines the
        preferred upstream; empty for a prompt shorter than one block.
      length: Characters of the whole prompt.
    """

    key: str
    length: int


def prefix_of(model: str, text: str) -> Prefix:
    """Return the prefix of a prompt.

    Only the first block determines the preferred upstream, so that callers
    that share the preamble of a service have the same one, whatever follows.

    >>> prefix_of("m", "short").key
    ''
    """
    if len(text) < BLOCK_CHARS:
        return Prefix("", len(text))
    head = f"{model}\0{text[:BLOCK_CHARS]}".encode(errors="replace")
    return Prefix(xxhash.xxh64_hexdigest(head), len(text))
