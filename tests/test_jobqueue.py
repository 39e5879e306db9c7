"""Tests of the selection of the batch item that runs next."""

import collections

import pytest

from camphortray import jobqueue


def make(*specs):
    """Build a queue of jobs: (id, workspace, weights, due, items)."""
    queue = jobqueue.JobQueue()
    for name, workspace, weights, due, count in specs:
        queue.add_job(
            jobqueue.QueuedJob(
                name, "svc", workspace, *weights, due=due, left=count
            )
        )
        for index in range(count):
            queue.push(jobqueue.Item(name, index, b"", prefix=index % 2), 0)
    return queue


def picks(queue, count, upstream="u", now=0.0, pace_s=0.0):
    """Return the number of items of each job among the next ``count``."""
    items = [queue.pick("svc", upstream, now, pace_s) for _ in range(count)]
    return collections.Counter(item.job for item in items if item)


@pytest.mark.parametrize(
    ("specs", "count", "shares"),
    [
        # A large and a small job of one workspace share evenly.
        (
            [("a", "w", (1, 1), None, 500), ("b", "w", (1, 1), None, 20)],
            40,
            {"a": 20, "b": 20},
        ),
        # Three jobs of one workspace get as much as one of another.
        (
            [
                ("a", "w", (1, 1), None, 50),
                ("b", "w", (1, 1), None, 50),
                ("c", "w", (1, 1), None, 50),
                ("d", "x", (1, 1), None, 50),
            ],
            48,
            {"a": 8, "b": 8, "c": 8, "d": 24},
        ),
        # Shares follow the weights of jobs, then of workspaces.
        (
            [("a", "w", (3, 1), None, 50), ("b", "w", (1, 1), None, 50)],
            40,
            {"a": 30, "b": 10},
        ),
        (
            [("a", "w", (1, 3), None, 50), ("b", "x", (1, 1), None, 50)],
            40,
            {"a": 30, "b": 10},
        ),
        # An urgent job goes first but does not starve the other.
        (
            [("a", "w", (1, 1), 10.0, 90), ("b", "x", (1, 1), None, 90)],
            40,
            {"a": 30, "b": 10},
        ),
        # Of two urgent jobs the one with less slack goes first; a job with
        # ample slack does not.
        (
            [("a", "w", (1, 1), 90.0, 90), ("b", "w", (1, 1), 50.0, 90)],
            4,
            {"b": 3, "a": 1},
        ),
        (
            [("a", "w", (1, 1), 9e4, 90), ("b", "w", (1, 1), None, 90)],
            40,
            {"a": 20, "b": 20},
        ),
    ],
)
def test_selection_follows_shares_and_urgency(specs, count, shares):
    assert picks(make(*specs), count) == shares


def test_slack_counts_remaining_items_at_the_current_pace():
    queue = make(
        ("big", "w", (1, 1), 900.0, 90), ("small", "w", (1, 1), 800.0, 3)
    )
    assert picks(queue, 1, pace_s=10.0) == {"big": 1}


def test_a_new_job_gets_no_credit_for_the_time_before_it():
    queue = make(("a", "w", (1, 1), None, 99))
    picks(queue, 50)
    queue.add_job(jobqueue.QueuedJob("b", "svc", "x"))
    for index in range(40):
        queue.push(jobqueue.Item("b", index, b""), 0)
    assert picks(queue, 20) == {"a": 10, "b": 10}


def test_items_of_one_prefix_go_to_one_upstream():
    queue = make(("a", "w", (1, 1), None, 20))
    seen = collections.defaultdict(set)
    for _ in range(8):
        for upstream in ("u", "v"):
            item = queue.pick("svc", upstream, 0.0)
            seen[upstream].add(item.prefix)
    assert seen == {"u": {0}, "v": {1}}
    # An upstream whose own prefix is used up takes items of the other.
    assert picks(queue, 10, "u") == {"a": 4}


def test_a_failed_item_is_delayed_and_avoids_its_upstream():
    # After its delay the item goes to another upstream, and to the one that
    # failed it only once AVOID_S more have passed.
    queue = make(("a", "w", (1, 1), None, 1))
    item = queue.pick("svc", "u", 0.0)
    item.avoid, item.not_before = "u", 5.0
    queue.push(item, 0.0)
    assert queue.next_time() == 5.0 and not queue.ready("svc")
    queue.wake(5.0)
    assert queue.pick("svc", "u", 5.0) is None
    assert queue.pick("svc", "v", 5.0) is item
    queue.push(item, 6.0)
    late = 5.0 + jobqueue.AVOID_S
    assert queue.pick("svc", "u", late) is item


def test_suspects_are_selected_and_items_of_removed_jobs_dropped():
    queue = make(("a", "w", (1, 1), None, 1))
    suspect = jobqueue.Item("a", 7, b"", crashes=1)
    queue.push(suspect, 0.0)
    assert queue.pick("svc", "u", 0.0) is suspect
    queue.remove_job("a")
    queue.push(suspect, 0.0)
    assert queue.pick("svc", "u", 0.0) is None
