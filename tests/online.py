"""Helpers for tests of the online path."""

__all__ = ["ask", "body_of", "expected", "headers", "prompt", "text_of"]

import msgspec

from camphortray import cluster as clusters
from camphortray import httpclient
from camphortray import standin_engine

CHAT = "/v1/chat/completions"
FAST = standin_engine.TimingModel(speed=20.0)


def headers(*more):
    """Return the headers of a request by a workspace."""
    return (("authorization", f"Bearer {clusters.WORKSPACE_KEY}"), *more)


def prompt(number=0, mark=""):
    """Return a prompt that differs by number."""
    return f"why did battery {number} stop charging {mark}"


def body_of(content, tokens=20, **fields):
    """Return the body of a chat completion request."""
    data = {
        "model": clusters.MODEL,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": content}],
        **fields,
    }
    return msgspec.json.encode(data)


def expected(content, tokens=20):
    """Return the complete answer that every stand-in engine generates."""
    return "".join(
        standin_engine.token_text(content, index) for index in range(tokens)
    )


def text_of(answer):
    """Return the text of a complete or streamed answer.

    Asserts that a stream has one usage event, one id and a single end.
    """
    if answer.startswith(b"{"):
        return msgspec.json.decode(answer)["choices"][0]["message"]["content"]
    events = [
        msgspec.json.decode(line[6:])
        for line in answer.splitlines()
        if line.startswith(b"data: {")
    ]
    assert answer.endswith(b"data: [DONE]\n\n")
    assert answer.count(b"[DONE]") == 1
    assert sum("usage" in e for e in events) == 1
    assert len({e["id"] for e in events}) == 1
    reasons = [e["choices"][0].get("finish_reason") for e in events]
    assert reasons.count("length") == 1 and reasons[-1] == "length"
    return "".join(e["choices"][0]["delta"].get("content", "") for e in events)


# Timeouts of a test's client. Under load the event loop, which runs a whole
# cluster, may stall for longer than the usual timeout of a connection.
CLIENT_TIMEOUTS = httpclient.Timeouts(connect_s=20.0)


async def ask(host, content, *more, tokens=20, stream=True, client=None):
    """Send a chat request to a host; return status, headers and body."""
    http_client = client or httpclient.HttpClient(CLIENT_TIMEOUTS)
    try:
        return await http_client.call(
            host.address,
            "POST",
            CHAT,
            headers(*more),
            body_of(content, tokens, stream=stream),
        )
    finally:
        if client is None:
            await http_client.close()
