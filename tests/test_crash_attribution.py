"""Tests of finding the prompt segment that crashes engines."""

import pytest

from bench import crash_attribution as bench
from camphortray import crash_attribution

S = "s"
NOW = 1_000.0
NONE = ()


def attempt(request, segments):
    """Return an attempt whose prompt has segments of a letter each."""
    return crash_attribution.Attempt(request, tuple(segments))


def attribution_of(crashes, answers=()):
    """Return what is known of crashes and answers.

    Args:
      crashes: Time and the prompts without an answer there, as texts of
        segments with a letter each; every request is another, every engine
        too.
      answers: Time and segment of each answer known.
    """
    found = crash_attribution.CrashAttribution()
    for number, (at, prompts) in enumerate(crashes):
        found.record_crash(
            crash_attribution.CrashReport(
                S,
                f"e{number}",
                at,
                tuple(attempt(f"r{number}.{p}", p) for p in prompts),
            )
        )
    for at, segment in answers:
        found.record_answer(S, segment, at)
    return found


def culprits(crashes, answers=(), now=NOW):
    """Return the segments that are shown to crash engines, as texts."""
    found = attribution_of(crashes, answers).culprits(now)
    return sorted("".join(sorted(c.segments)) for c in found)


def each(times, *prompts):
    """Return a crash under the same prompts at each time."""
    return [(at, prompts) for at in times]


THREE = (901, 905, 909)


@pytest.mark.parametrize(
    ("crashes", "answers", "found"),
    [
        # All requests share the first segment, which is answered as well.
        (each(THREE, "ab"), [(910, "a")], ["b"]),
        # Answers just before and between crashes clear it too.
        (each(THREE, "ab"), [(908.5, "a")], ["b"]),
        # Two crashes are too few, and answers of long ago clear none.
        (each(THREE[:2], "ab"), NONE, []),
        (each(THREE, "b"), [(880, "b")], ["b"]),
        # It was answered until the engines got another release.
        (each(THREE, "ab"), [(890, "b"), (910, "a")], ["b"]),
        # The first segment is the one.
        ([(901, ["ab"]), (905, ["ac"]), (909, ["ad"])], NONE, ["a"]),
        # Two segments that no crash tells apart, until one does.
        (each(THREE, "ab"), NONE, ["ab"]),
        ([*each(THREE, "ab"), *each((913, 917), "ac")], NONE, ["a", "b"]),
        # One crash more than those behind it may be due to another cause.
        ([*each(THREE, "ab"), (913, ["ac"])], NONE, ["b"]),
        # An unanswered segment explains all but one crash of another, which
        # has been answered before.
        (
            [*each(THREE, "ab"), (913, ["ac"])],
            [(890, "a")],
            ["b"],
        ),
        # Two bad segments at once, under the same first one.
        (
            [*each(THREE, "ab"), *each((903, 907, 911), "ac")],
            [(912, "a")],
            ["b", "c"],
        ),
        (each(THREE, "ab", "ac"), [(910, "a")], ["bc"]),
        # Nothing has ever been answered on the first one.
        (
            [*each(THREE, "ab"), *each((903, 907, 911), "ac")],
            NONE,
            ["b", "c"],
        ),
        # Others in flight at the same engines.
        (
            [(901, ["ab", "ax"]), (905, ["ab", "ay"]), (909, ["ab", "ax"])],
            [(910, "a")],
            ["b"],
        ),
        # A zone or rack is lost: engines crash together.
        (
            [*each([900 + n / 10 for n in range(9)], "x"), (900, "b")],
            [(901, "x")],
            [],
        ),
        (
            [(900 + n / 20, ["b"] if n < 3 else ["x"]) for n in range(12)],
            [(901, "x")],
            [],
        ),
        # All engines crash at once under one segment.
        (each([900 + n / 10 for n in range(6)], "ab"), [(900.5, "a")], ["b"]),
    ],
)
def test_which_segment_is_to_blame(crashes, answers, found):
    crashes = [(at, list(prompts)) for at, prompts in crashes]
    assert culprits(crashes, answers) == found


def test_repeats_of_one_request_blame_no_segment():
    found = attribution_of([])
    for number, at in enumerate(THREE):
        report = crash_attribution.CrashReport(
            S, f"e{number}", at, (attempt("same", "ab"),)
        )
        found.record_crash(report)
    assert not found.culprits(NOW)


def test_reports_of_several_hosts_are_one_crash():
    found = attribution_of([])
    for host in range(3):
        report = crash_attribution.CrashReport(
            S, "e", 900 + host / 100, (attempt(f"r{host}", "b"),)
        )
        found.record_crash(report)
    assert len(found.of(S)) == 1
    assert not found.culprits(NOW)


def test_an_answer_on_its_way_is_waited_for():
    # Answers that clear a segment are known a moment after the crash.
    crashes = each(THREE, "ab")
    assert culprits(crashes, now=909.5) == []
    assert culprits(crashes, now=910.0) == ["ab"]


def test_an_answer_of_another_service_clears_nothing():
    found = attribution_of(each(THREE, "b"))
    found.record_answer("other", "b", 910)
    assert [c.segments for c in found.culprits(NOW)] == [{"b"}]


def test_an_answer_counts_that_is_known_before_the_crash():
    # A host that joins receives facts in any order.
    found = attribution_of([], [(910, "a")])
    for number, at in enumerate(THREE):
        report = crash_attribution.CrashReport(
            S, f"e{number}", at, (attempt(f"r{number}", "ab"),)
        )
        found.record_crash(report)
    assert [c.segments for c in found.culprits(NOW)] == [{"b"}]


def test_what_is_remembered_is_bounded():
    many = crash_attribution.MAX_CRASHES + 50
    found = attribution_of(
        [(900 + n / 10, [chr(0x4E00 + n)]) for n in range(many)]
    )
    assert len(found.of(S)) == crash_attribution.MAX_CRASHES
    found.record_answer(S, chr(0x4E00 + many - 1), NOW)
    found.prune(NOW + 2 * crash_attribution.CRASH_TTL_S)
    assert not found.crashes
    assert not found.answered_at


def test_its_bench_runs(capsys):
    # Pages name it, and nothing else starts it.
    bench.main()
    assert "a request without a crash" in capsys.readouterr().out
