"""Where the leading blocks of a prompt are likely to be cached."""

__all__ = ["BLOCK_CHARS", "Prefix", "prefix_of"]

import dataclasses

import xxhash

# Characters of one block. Prompts that share a preamble of a block or
# more meet at the same upstream.
BLOCK_CHARS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """The leading blocks of one prompt.

    Attributes:
      key: Hash of the first block, by which an upstream is chosen; empty
        for a prompt shorter than one block.
      length: Characters of the whole prompt.
    """

    key: str
    length: int


def prefix_of(model: str, text: str) -> Prefix:
    """Return the prefix of a prompt.

    Only the first block chooses the upstream: callers that share the
    preamble of a service go to the same place whatever they ask next.

    >>> prefix_of("m", "short").key
    ''
    """
    if len(text) < BLOCK_CHARS:
        return Prefix("", len(text))
    head = f"{model}\0{text[:BLOCK_CHARS]}".encode(errors="replace")
    return Prefix(xxhash.xxh64_hexdigest(head), len(text))
