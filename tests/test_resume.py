"""Tests of the position from which a broken stream is resumed."""

import msgspec
import pytest

from camphortray import errors
from camphortray import resume
from tests import online

WORDS = ["the ", "gate ", "opens ", "near ", '\u00e4 \\ "error" ', "hall "]
TOTAL = len(WORDS)


def event(text="", finish=None, usage=None, name="cmpl-1", **choice):
    delta = {"content": text} if text else {}
    data = {
        "id": name,
        "created": 5,
        "choices": [
            {"index": 0, "finish_reason": finish, "delta": delta, **choice}
        ],
    }
    if usage:
        data["usage"] = {"completion_tokens": usage}
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


def answer(words, name="cmpl-1", total=TOTAL):
    """Return a complete stream with one event for each word."""
    events = [event(word, name=name) for word in words]
    events.append(event(finish="length", usage=total, name=name))
    return b"".join(events) + resume.DONE


def test_a_stream_cut_at_any_byte_is_resumed_without_a_seam():
    # The first engine fails after any number of bytes, also within an event,
    # and the second continues after the tokens that were forwarded. The
    # caller must get the whole text, with no token lost or repeated.
    whole = answer(WORDS)
    for cut in range(len(whole)):
        sent = resume.SentStream()
        got = b"".join(
            sent.feed(whole[at : min(at + 50, cut)])
            for at in range(0, cut, 50)
        )
        if sent.done:
            assert cut == len(whole)
            continue
        position = sent.resume()
        assert position.text == "".join(WORDS[: position.tokens])
        assert position.resumable
        if position.finished:
            got += resume.DONE
        else:
            got += sent.feed(answer(WORDS[position.tokens :], "cmpl-2"))
            assert sent.done
        assert online.text_of(got) == "".join(WORDS)


@pytest.mark.parametrize(
    ("events", "tokens", "resumable"),
    [
        ([event("a"), event("b")], 2, True),
        ([event("a b ", usage=2), event("c", usage=3)], 3, True),
        ([event("a", index=1)], 1, False),
        ([event("a", logprobs={})], 1, False),
        ([event(delta={"tool_calls": [{}]})], 0, False),
        ([event(delta={"role": "assistant"}), event("a")], 1, True),
        ([b": a comment\n\n", event("a")], 1, True),
        ([event("x" * 900) for _ in range(200)], 200, True),
    ],
)
def test_tokens_are_counted_from_events(events, tokens, resumable):
    sent = resume.SentStream()
    for data in events:
        assert sent.feed(data) == data
    position = sent.resume()
    assert (position.tokens, position.resumable) == (tokens, resumable)


def test_a_second_opening_and_finish_event_are_not_forwarded():
    sent = resume.SentStream()
    sent.feed(event("a", finish="stop"))
    sent.resume()
    opening = event(delta={"role": "assistant"}, name="two")
    assert sent.feed(opening + event(finish="stop", name="two")) == b""
    usage = b'data: {"id":"two","choices":[],"usage":{}}\n\n'
    got = sent.feed(usage + resume.DONE)
    assert b'"cmpl-1"' in got and got.endswith(resume.DONE)


@pytest.mark.parametrize(
    "data", [b'data: {"error":{"message":"oom"}}\n\n', b'data: {"error"\n\n']
)
def test_an_error_inside_the_stream_is_a_break(data):
    sent = resume.SentStream()
    sent.feed(event("a"))
    with pytest.raises(errors.UpstreamBroken):
        sent.feed(data + resume.DONE)
    assert sent.resume().tokens == 1 and not sent.done
