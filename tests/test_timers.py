"""Time limits on others while this process stands still.

What callers saw: 503 and 502 with engines and coordinator well. A process that
stood still for longer than the time for an answer took whoever was to answer
for silent: engines to which it was opening connections (0.15 s)
and the coordinator of the slots (0.12 s), though both had answered meanwhile.
"""

import asyncio
import time

import pytest

from camphortray import timers

LIMIT_S = 0.05
STAND_S = 0.15
# Turns of the loop that it takes to read what lies unread.
TURNS = 8


async def work(turns):
    """Do what is ready, a step a turn."""
    for _ in range(turns):
        await asyncio.sleep(0)
    return "done"


async def test_what_is_ready_is_done_after_a_pause():
    async with timers.limit(LIMIT_S):
        time.sleep(STAND_S)
        assert await work(TURNS) == "done"


async def test_without_it_a_pause_uses_the_time_up():
    # The difference, on the same steps.
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(LIMIT_S):
            time.sleep(STAND_S)
            await work(TURNS)


@pytest.mark.parametrize("stand_s", [0.0, STAND_S])
async def test_who_is_silent_is_found_out_all_the_same(stand_s):
    with pytest.raises(TimeoutError):
        async with timers.limit(LIMIT_S):
            time.sleep(stand_s)
            await asyncio.sleep(3600)


async def test_a_limit_ends_with_its_work():
    loop = asyncio.get_running_loop()
    async with timers.limit(LIMIT_S) as limit:
        pass
    assert limit.deadline.handle.cancelled()
    with pytest.raises(ZeroDivisionError):
        async with timers.limit(LIMIT_S):
            raise ZeroDivisionError
    task = loop.create_task(work(10**6))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        async with timers.limit(LIMIT_S):
            await task


@pytest.mark.parametrize(
    "late_s, seconds, expected",
    [
        (0.0, 1.0, 0.0),
        (timers.LATE_S, 1.0, 0.0),
        (0.1, 1.0, 0.1),
        (4.0, 0.15, 0.15),
    ],
)
def test_by_how_much_a_limit_is_moved_on(late_s, seconds, expected):
    assert timers.extra_s(late_s, seconds) == expected


async def test_a_lazy_timer_is_moved_on_too():
    fired = asyncio.Event()
    timer = timers.LazyTimer(fired.set)
    timer.set(LIMIT_S)
    time.sleep(STAND_S)
    assert await work(TURNS) == "done"
    assert not fired.is_set()
    async with asyncio.timeout(10):
        await fired.wait()


async def test_a_deadline_moves_on_with_a_pause():
    with timers.Deadline(LIMIT_S) as deadline:
        time.sleep(STAND_S)
        await work(TURNS)
        assert deadline.left() > 0
    assert deadline.handle.cancelled()


class SteppedLoop:
    """Calls back at set times; its clock moves as a test says."""

    def __init__(self):
        self.now = 0.0
        self.handles = []

    def time(self):
        return self.now

    def call_at(self, when, callback):
        handle = asyncio.TimerHandle(when, callback, (), self)
        self.handles.append(handle)
        return handle

    def _timer_handle_cancelled(self, handle):
        pass

    def get_debug(self):
        return False

    def run(self, until, step_s):
        """Call back what is due, with so much time between two looks."""
        while self.now < until:
            self.now += step_s
            due = [h for h in self.handles if h.when() <= self.now]
            self.handles = [h for h in self.handles if h not in due]
            for handle in due:
                if not handle.cancelled():
                    handle._run()


def begin_deadline(seconds, on_over):
    timers.Deadline(seconds, on_over)


def begin_lazy_timer(seconds, on_over):
    timers.LazyTimer(on_over).set(seconds)


@pytest.mark.parametrize("begin", [begin_deadline, begin_lazy_timer])
@pytest.mark.parametrize(
    "before_s, pause_s, over_s",
    [
        # Without a pause a limit ends when it was set to.
        (0.0, 0.0, 1.0),
        # From the start, and in the middle: what was left is left.
        (0.0, 0.9, 1.65),
        (0.5, 0.4, 1.15),
        # A long one: the limit begins anew, at most.
        (0.5, 20.0, 21.5),
        # Beyond the end.
        (0.9, 0.5, 1.8),
        # Between two checks, and shorter than it takes to notice.
        (0.55, 0.15, 1.0),
        (0.7, 0.06, 1.0),
    ],
)
def test_a_pause_in_the_middle_does_not_use_a_limit_up(
    monkeypatch, begin, before_s, pause_s, over_s
):
    """A pause that ends before a limit took an engine for silent."""
    loop = SteppedLoop()
    monkeypatch.setattr(asyncio, "get_running_loop", lambda: loop)
    over = []
    begin(1.0, lambda: over.append(loop.now))
    loop.run(before_s, 0.001)
    loop.now += pause_s
    loop.run(100.0, 0.001)
    assert over == [pytest.approx(over_s, abs=0.02)]
