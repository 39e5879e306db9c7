"""How the engine stand-in reads requests and shapes its answers."""

__all__ = ["Form", "make_sequence", "stream_answer", "whole_answer"]

import time
from typing import Any

import msgspec

from camphortray import httpserver
from camphortray import standin_model

DEFAULT_MAX_TOKENS = 16


def make_sequence(
    request: httpserver.Request, data: dict[str, Any], marker: str
) -> standin_model.Sequence:
    """Build the engine's view of a request."""
    prompt = prompt_of(data)
    wanted = data.get("max_tokens") or data.get("max_completion_tokens")
    resume = data.get("resume") or {}
    return standin_model.Sequence(
        request.id,
        prompt,
        int(wanted or DEFAULT_MAX_TOKENS),
        produced=int(resume.get("tokens", 0)),
        taken=int(resume.get("tokens", 0)),
        crash=marker in prompt,
    )


def prompt_of(data: dict[str, Any]) -> str:
    """Return the prompt as one text."""
    if "messages" in data:
        return "\n".join(str(m.get("content", "")) for m in data["messages"])
    return str(data.get("prompt", ""))


class Form:
    """Shapes tokens as the interface asks."""

    def __init__(
        self,
        request: httpserver.Request,
        model: str,
        sequence: standin_model.Sequence,
        counts: bool = False,
    ) -> None:
        self.chat = "chat" in request.path
        self.sequence = sequence
        # A chunk may hold several tokens; asked to, it counts them.
        self.counts = counts
        self.head = {
            "id": f"cmpl-{request.id}",
            "created": int(time.time()),
            "model": model,
        }

    def usage(self) -> dict[str, int]:
        """Return counts of tokens."""
        prompt = len(self.sequence.prompt.split())
        made = self.sequence.produced
        return {
            "prompt_tokens": prompt,
            "completion_tokens": made,
            "total_tokens": prompt + made,
        }

    def chunk(self, text: str, finish: str | None) -> bytes:
        """Return one server-sent event."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
        if self.chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        data = {**self.head, "object": kind, "choices": [choice]}
        if finish or self.counts:
            data["usage"] = self.usage()
        return b"data: " + msgspec.json.encode(data) + b"\n\n"

    def whole(self, text: str) -> dict[str, Any]:
        """Return a whole answer."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self.chat else "text_completion"
        return {
            **self.head,
            "object": kind,
            "choices": [choice],
            "usage": self.usage(),
        }


async def next_tokens(sequence: standin_model.Sequence) -> str:
    """Return the text of the tokens made since the last call.

    Raises:
      ConnectionError: the engine crashed or cancelled the request.
    """
    while sequence.taken >= sequence.produced:
        if sequence.broken or sequence.cancelled:
            raise ConnectionError("request is lost")
        sequence.ready.clear()
        await sequence.ready.wait()
    made = range(sequence.taken, sequence.produced)
    sequence.taken = sequence.produced
    return "".join(
        standin_model.token_text(sequence.prompt, index) for index in made
    )


async def stream_answer(
    response: httpserver.Response, sequence: standin_model.Sequence, form: Form
) -> None:
    """Send tokens as they are made."""
    response.start(200, [("content-type", "text/event-stream")])
    try:
        while sequence.taken < sequence.max_tokens:
            response.write(form.chunk(await next_tokens(sequence), None))
            await response.flush()
    except ConnectionError:
        response.abort()
        return
    response.write(form.chunk("", "length"))
    response.write(b"data: [DONE]\n\n")
    response.end()


async def whole_answer(
    response: httpserver.Response, sequence: standin_model.Sequence, form: Form
) -> None:
    """Send the answer once it is whole."""
    parts = []
    try:
        while sequence.taken < sequence.max_tokens:
            parts.append(await next_tokens(sequence))
    except ConnectionError:
        response.abort()
        return
    response.send_json(200, form.whole("".join(parts)))
