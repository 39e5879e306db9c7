"""Builds a whole completion out of a streamed one."""

__all__ = ["Collector"]

from typing import Any

import msgspec

from camphortray import errors
from camphortray import json_reader

DONE = b"[DONE]"
# Fields of a chunk's choice that are put together here, not copied.
STREAMED = frozenset({"index", "delta", "text", "logprobs", "finish_reason"})


class Collector:
    """Takes the bytes of an event stream and puts the answer together.

    Attributes:
      text: Text of the first choice so far; a resumed answer goes on
        right behind it.
      tokens: Tokens in ``text``.
      complete: Whether the stream said that it is done.
      resumable: Whether ``text`` and ``tokens`` are all there is to it.
      version: Software version of the upstream that made the text.

    >>> c = Collector()
    >>> c.feed(b'data: {"id":"x","choices":[{"index":0,"text":"a "')
    >>> c.feed(b'}]}\\n\\ndata: [DONE]\\n\\n')
    >>> c.complete, c.text, c.tokens
    (True, 'a ', 1)
    """

    def __init__(self) -> None:
        self.rest = b""
        self.head: dict[str, Any] = {}
        self.choices: dict[int, dict[str, Any]] = {}
        self.usage: dict[str, Any] | None = None
        self.text = ""
        self.tokens = 0
        self.complete = False
        self.resumable = True
        self.version = ""

    def restart(self) -> None:
        """Make ready for the stream that goes on behind this one."""
        self.rest = b""
        self.complete = False

    def feed(self, data: bytes) -> None:
        """Take bytes.

        Raises:
          UpstreamBroken: they are no event stream of a completion.
        """
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            if not line.startswith(b"data:"):
                continue
            payload = line[5:].strip()
            if payload == DONE:
                self.complete = True
            elif payload:
                self.take(payload)

    def take(self, payload: bytes) -> None:
        """Take one event."""
        try:
            chunk = json_reader.read(payload)
            choices = chunk.get("choices") or []
            if "error" in chunk:
                raise ValueError(str(chunk["error"]))
            for choice in choices:
                self.add(choice)
        except (msgspec.DecodeError, AttributeError, ValueError) as error:
            raise errors.UpstreamBroken(
                f"malformed event: {error}", ran=True, step="read"
            ) from error
        self.usage = chunk.pop("usage", None) or self.usage
        if self.usage is not None:
            self.tokens = int(self.usage.get("completion_tokens", 0))
        chunk.pop("choices", None)
        self.head = {**chunk, **self.head}

    def add(self, choice: dict[str, Any]) -> None:
        """Add one chunk of a choice."""
        index = choice.get("index", 0)
        held = self.choices.setdefault(index, {"index": index})
        delta = choice.get("delta")
        if delta is not None:
            message = held.setdefault("message", {"role": "assistant"})
            merge(message, delta)
            plain = set(delta) <= {"role", "content"}
        else:
            delta = {"content": choice.get("text") or ""}
            held["text"] = held.get("text", "") + delta["content"]
            plain = True
        if choice.get("logprobs") is not None:
            merge(held.setdefault("logprobs", {}), choice["logprobs"])
            plain = False
        if choice.get("finish_reason") is not None:
            held["finish_reason"] = choice["finish_reason"]
        for key in set(choice) - STREAMED:
            held[key] = choice[key]
        self.resumable = self.resumable and plain and index == 0
        if delta.get("content"):
            # One token a chunk, unless the engine sends its own count.
            self.text += delta["content"]
            self.tokens += 1

    def body(self) -> bytes:
        """Return the whole completion as JSON."""
        chat = any("message" in c for c in self.choices.values())
        whole = {
            **self.head,
            "object": "chat.completion" if chat else "text_completion",
            "choices": [self.choices[i] for i in sorted(self.choices)],
        }
        for choice in whole["choices"]:
            choice.setdefault("finish_reason", None)
        if self.usage is not None:
            whole["usage"] = self.usage
        return msgspec.json.encode(whole)


def merge(held: dict[str, Any], more: dict[str, Any]) -> None:
    """Add a delta: texts and lists grow, indexed entries merge.

    >>> held = {"content": "a"}
    >>> merge(held, {"content": "b", "tool_calls": [{"index": 0, "x": "1"}]})
    >>> merge(held, {"tool_calls": [{"index": 0, "x": "2"}]})
    >>> held
    {'content': 'ab', 'tool_calls': [{'index': 0, 'x': '12'}]}
    """
    for key, value in more.items():
        before = held.get(key)
        if before is None or key in ("role", "type", "id", "index"):
            held[key] = value
        elif isinstance(before, str) and isinstance(value, str):
            held[key] = before + value
        elif isinstance(before, dict) and isinstance(value, dict):
            merge(before, value)
        elif isinstance(before, list) and isinstance(value, list):
            for entry in value:
                merge_entry(before, entry)
        elif value is not None:
            held[key] = value


def merge_entry(entries: list[Any], entry: Any) -> None:
    """Add an entry to a list, or to the entry of the same index."""
    if isinstance(entry, dict) and "index" in entry:
        for held in entries:
            if held.get("index") == entry["index"]:
                merge(held, entry)
                return
    entries.append(entry)
