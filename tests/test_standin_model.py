"""The timing model of the engine stand-in, in virtual time."""

import asyncio

import pytest

from camphortray import standin_model

pytestmark = pytest.mark.looptime
TIMING = standin_model.TimingModel()


def sequence(number, words=10, tokens=4, **more):
    prompt = " ".join(f"w{number}-{index}" for index in range(words))
    return standin_model.Sequence(str(number), prompt, tokens, **more)


async def whole_s(model, *sequences):
    """Return how long the engine takes for all of them together."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    for item in sequences:
        model.submit(item)
    while not all(item.done for item in sequences):
        await asyncio.sleep(0.0005)
    took_s = loop.time() - began
    model.task.cancel()
    await asyncio.wait({model.task})
    return took_s


@pytest.mark.parametrize(
    "count, words, steps",
    [(1, 10, 4), (32, 10, 4), (1, 4000, 5), (65, 10, 8)],
)
async def test_steps_grow_with_batch_and_prompts(count, words, steps):
    # Four tokens take four steps, one more for each prompt that is over
    # the budget of a step, and the 65th waits for the first to be done.
    model = standin_model.EngineModel(TIMING)
    items = [sequence(number, words) for number in range(count)]
    expected = (
        TIMING.base_s * steps
        + TIMING.per_sequence_s * count * (5 if words > 2048 else 4)
        + TIMING.per_prefill_s * words * count
    )
    assert await whole_s(model, *items) == pytest.approx(expected, abs=0.003)


async def test_a_cached_prefix_is_not_read_again():
    model = standin_model.EngineModel(TIMING)
    first = await whole_s(model, sequence(1, words=1600))
    again = await whole_s(model, sequence(1, words=1600))
    saved = 1599 * TIMING.per_prefill_s
    assert first - again == pytest.approx(saved, abs=0.002)


async def test_a_resumed_request_makes_only_what_is_left():
    model = standin_model.EngineModel(TIMING)
    item = sequence(1, tokens=10, produced=8, taken=8)
    await whole_s(model, item)
    assert model.tokens_made == 2


async def test_readers_far_behind_miss_events_and_go_on(monkeypatch):
    monkeypatch.setattr(standin_model, "MAX_EVENTS", 10)
    model = standin_model.EngineModel(TIMING)
    for number in range(25):
        model.note_events([f"block-{number}"], [])
    assert [c.sequence for c in model.events_after(0)] == list(range(16, 26))
    assert [c.sequence for c in model.events_after(24)] == [25]
    assert model.events_after(25) == []


def test_the_least_recently_used_blocks_go_first():
    cache = standin_model.PrefixCache(2)
    cache.store(["a", "b"])
    assert cache.lookup(["a"]) == 1
    assert cache.store(["c"]) == (["c"], ["b"])
