"""Tests of building a whole completion out of a stream."""

import json

import pytest

from camphortray import collector
from camphortray import errors


def event(**fields):
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


def chat(text, **more):
    choice = {"index": 0, "delta": {"content": text}, **more}
    return {"id": "1", "object": "chat.completion.chunk", "choices": [choice]}


@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_a_stream_in_any_pieces_gives_the_whole(size):
    data = (
        event(**chat("a "), usage={"completion_tokens": 1})
        + event(**chat("b c "), usage={"completion_tokens": 3})
        + event(**chat("", finish_reason="length"))
        + b"data: [DONE]\n\n"
    )
    held = collector.Collector()
    for start in range(0, len(data), size):
        held.feed(data[start : start + size])
    assert held.complete and held.resumable
    assert (held.text, held.tokens) == ("a b c ", 3)
    assert json.loads(held.body()) == {
        "id": "1",
        "object": "chat.completion",
        "usage": {"completion_tokens": 3},
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": "a b c "},
                "finish_reason": "length",
            }
        ],
    }


def test_what_goes_on_on_another_engine_is_one_answer():
    held = collector.Collector()
    held.feed(event(**chat("a "))[:-1] + b'\ndata: {"cut')
    held.restart()
    held.feed(event(**chat("b ", finish_reason="stop")))
    assert not held.complete and held.text == "a b "
    message = json.loads(held.body())["choices"][0]["message"]
    assert message["content"] == "a b "


@pytest.mark.parametrize(
    "choice",
    [
        {"index": 1, "delta": {"content": "x"}},
        {"index": 0, "delta": {"tool_calls": [{"index": 0}]}},
        {"index": 0, "text": "x", "logprobs": {"tokens": ["x"]}},
    ],
)
def test_answers_of_more_than_one_text_are_not_resumed(choice):
    held = collector.Collector()
    held.feed(event(choices=[choice]))
    assert not held.resumable


@pytest.mark.parametrize(
    "data", [b"data: {", b"data: 5", event(error={"message": "x"})]
)
def test_what_is_no_completion_breaks_the_answer(data):
    with pytest.raises(errors.UpstreamBroken):
        collector.Collector().feed(data + b"\n")
