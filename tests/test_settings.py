"""Tests of the settings tree: fold, view, declarations, publishing."""

import asyncio
import copy

import pytest

from camphortray import compaction
from camphortray import declaration
from camphortray import errors
from camphortray import log
from camphortray import plan as plans
from camphortray import publisher as publishers
from camphortray import records
from camphortray import settings
from camphortray import view

REGION = "cantabria"
SERVICE = "cantabria/lessor-assist"
ADDRESS = "127.0.0.1:9100"


def fold_of(*changes):
    """Fold changes, each against the node as it is."""
    fold = settings.SettingsFold()
    for number, (node, values, unset) in enumerate(changes):
        base = fold.nodes.get(node, settings.Node()).revision
        put(fold, number, settings.Change(node, base, values, unset))
    return fold


def put(fold, offset, change):
    body = {
        "node": change.node,
        "base": change.base,
        "set": change.set,
        "unset": list(change.unset),
        "a field of a later release": 1,
    }
    record = records.Record(
        records.RecordId(records.Writer(f"op-{offset}", 1), 1),
        settings.CHANGE,
        records.NO_EPOCH,
        body,
    )
    return fold.apply(offset, records.encode(record))


def test_of_two_changes_against_one_revision_the_first_wins():
    fold = fold_of((SERVICE, {"limit.queue": 5}, ()))
    first = put(fold, 1, settings.Change(SERVICE, 1, {"limit.queue": 6}))
    second = put(fold, 2, settings.Change(SERVICE, 1, {"limit.queue": 7}))
    assert first.valid and not second.valid
    assert "revision 2" in second.reason
    assert fold.nodes[SERVICE].values == {"limit.queue": 6}
    assert fold.revision == 2


@pytest.mark.parametrize(
    ("changes", "value", "level"),
    [
        ([], 1.2, None),
        ([(REGION, {"objective.ttft_s": 2.0}, ())], 2.0, REGION),
        (
            [
                (REGION, {"objective.ttft_s": 2.0}, ()),
                (SERVICE, {"objective.ttft_s": 3.0}, ()),
            ],
            3.0,
            SERVICE,
        ),
        (
            [
                (REGION, {"objective.ttft_s": 2.0}, ()),
                (SERVICE, {"objective.ttft_s": 3.0}, ()),
                (SERVICE, {}, ("objective.ttft_s",)),
            ],
            2.0,
            REGION,
        ),
        ([(REGION, {"objective.ttft_s": "soon"}, ())], 1.2, None),
    ],
    ids=["default", "region", "override", "unset", "unusable"],
)
def test_values_are_inherited_unless_set_lower(changes, value, level):
    fold = fold_of((SERVICE, {"kind": "engines"}, ()), *changes)
    shown = settings.View(fold, REGION)
    assert shown.services["lessor-assist"].get("objective.ttft_s") == value
    found = shown.resolve(SERVICE).get("objective.ttft_s")
    assert (found.node if found else None) == level


def test_a_view_knows_keys_models_and_upstreams():
    old, new = settings.hash_key("old"), settings.hash_key("new")
    fold = fold_of(
        (REGION, {"workspace.home-1.keys": [old, new]}, ()),
        (
            SERVICE,
            {
                "model.lm.version": "3",
                "upstream.e.1.address": ADDRESS,
                "upstream.e2.slots": 5,
            },
            (),
        ),
        ("kyushu-north/listing-lm", {"model.other.version": "1"}, ()),
    )
    shown = settings.View(fold, REGION)
    # Both keys are good while a key is being rotated.
    assert shown.workspaces.holders == {old: "home-1", new: "home-1"}
    service = shown.by_model["lm"]
    assert set(service.upstreams) == {"e.1"}
    assert "other" not in shown.by_model


def test_a_node_that_did_not_change_is_taken_over():
    fold = fold_of((REGION, {"limit.queue": 5}, ()), (SERVICE, {}, ()))
    before = settings.View(fold, REGION)
    put(fold, 2, settings.Change(SERVICE, 2, {"limit.queue": 9}))
    after = settings.View(fold, REGION, before)
    assert after.nodes[REGION] is before.nodes[REGION]
    assert after.services["lessor-assist"].get("limit.queue") == 9
    assert before.services["lessor-assist"].get("limit.queue") == 5


def test_an_index_made_from_the_one_before_is_the_same_as_a_new_one():
    # Hosts that saw every change and hosts that started later must see
    # the same tree, and a view in use must not change under its user.
    values = {
        "workspace.a.weight": 1.0,
        "workspace.a.keys": ["x"],
        "workspace.b.weight": 2.0,
        "limit.queue": 5,
    }
    steps = [
        {"workspace.a.weight": 3.0},
        {"workspace.b.weight": "heavy", "limit.queue": -1},
        {"workspace.b.weight": None, "workspace.c.weight": 1.0},
        {"workspace.a.weight": None, "workspace.a.keys": None},
        {"limit.queue": 6},
    ]
    index = view.NodeIndex(settings.Node(1, values))
    for revision, step in enumerate(steps, 2):
        values = {**values, **step}
        values = {k: v for k, v in values.items() if v is not None}
        kept = copy.deepcopy(index.families)
        after = view.NodeIndex(settings.Node(revision, values), index)
        new = view.NodeIndex(settings.Node(revision, values))
        for field in ("values", "families", "faults"):
            assert getattr(after, field) == getattr(new, field)
        assert index.families == kept
        index = after


def test_a_fold_goes_through_a_snapshot_unchanged():
    fold = fold_of((REGION, {"limit.queue": 5}, ()), (SERVICE, {}, ()))
    copy = settings.SettingsFold()
    copy.restore(fold.snapshot())
    assert copy.snapshot() == fold.snapshot()
    change = settings.Change(REGION, 1, {"limit.queue": 6})
    assert put(fold, 2, change).valid and put(copy, 2, change).valid
    assert copy.snapshot() == fold.snapshot()


@pytest.mark.parametrize(
    ("files", "expected"),
    [
        ({"a.toml": "objective.ttft = 1"}, "perhaps objective.ttft_s"),
        ({"a.toml": "[objective]\nttft_s = 0"}, "found 0, expected float"),
        ({"a.toml": "priority = 'speed'"}, "expected latency or throughput"),
        ({"a.toml": "= 1"}, "valid TOML"),
        ({"a/b/c/d.toml": ""}, "region/service/job"),
        ({}, "expected *.toml"),
    ],
)
def test_declarations_name_every_fault(tmp_path, files, expected):
    files = {**files, **({"z.toml": "nonsense = 1"} if files else {})}
    for name, text in files.items():
        (tmp_path / name).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / name).write_text(text)
    with pytest.raises(errors.ConfigError) as caught:
        declaration.Declaration.from_directory(str(tmp_path))
    assert expected in str(caught.value)
    assert not files or "z.toml: nonsense" in str(caught.value)


def test_a_plan_shows_what_differs_and_nothing_else(tmp_path):
    (tmp_path / "cantabria").mkdir()
    (tmp_path / "cantabria.toml").write_text("limit.queue = 5\n")
    (tmp_path / "cantabria/lessor-assist.toml").write_text(
        "priority = 'latency'\n[limit]\nsilence_s = 2.0\n"
    )
    wanted = declaration.Declaration.from_directory(str(tmp_path))
    fold = fold_of(
        (REGION, {"limit.queue": 5}, ()),
        (SERVICE, {"limit.silence_s": 1.0, "kind": "engines"}, ()),
        (REGION + "/old", {"kind": "plain"}, ()),
        ("kyushu-north", {"limit.queue": 1}, ()),
    )
    shown = str(plans.Plan.between(fold, wanted))
    assert shown.splitlines() == [
        "Against revision 4:",
        "cantabria/lessor-assist  (revision 2)",
        "  - kind = 'engines'",
        "  ~ limit.silence_s = 1.0 -> 2.0",
        "  + priority = 'latency'",
        "cantabria/old  (revision 3)",
        "  - kind = 'plain'",
    ]


class Operators:
    """Two operators on one log in memory."""

    def __init__(self):
        self.log = log.MemoryLog()
        self.ana = publishers.Publisher(self.log, "ana")
        self.bo = publishers.Publisher(self.log, "bo")

    async def __aenter__(self):
        await self.ana.start()
        await self.bo.start()
        return self

    async def __aexit__(self, *exc):
        await self.ana.stop()
        await self.bo.stop()


def edit(publisher, node, key, value):
    held = publisher.fold.nodes.get(node, settings.Node())
    return plans.NodePlan.between(node, held, {**held.values, key: value})


@pytest.mark.looptime
async def test_racing_operators_are_told_who_won():
    # Both plan against the same revision and publish at once. One is
    # told "accepted", the other "refused" and by whom it was overtaken;
    # the value in force is the first one's for both.
    async with Operators() as both:
        plan_a = edit(both.ana, SERVICE, "limit.queue", 5)
        plan_b = edit(both.bo, SERVICE, "limit.queue", 6)
        told_a, told_b = await asyncio.gather(
            both.ana.publish(plan_a, ""), both.bo.publish(plan_b, "")
        )
        assert told_a.verdict == "accepted"
        assert told_b.verdict == "refused"
        assert "changed by ana at revision 1" in told_b.reason
        assert both.bo.fold.nodes[SERVICE].values == {"limit.queue": 5}


@pytest.mark.looptime
async def test_a_lost_answer_is_met_by_reading_back():
    # The log takes the change but its answer is lost. The operator is
    # told "accepted" once the record is read back, and it counts once.
    async with Operators() as both:
        both.log.lose_answers = 1
        plan = edit(both.ana, SERVICE, "limit.queue", 5)
        told = await both.ana.publish(plan, "")
        assert told.verdict == "accepted"
        assert [e.revision for e in both.ana.fold.history] == [1]


@pytest.mark.looptime
async def test_an_outage_in_the_middle_of_an_apply_can_be_resumed(tmp_path):
    # The region is accepted, then the log goes down before the service.
    # The operator is told of each node what became of it; after the
    # outage the same apply sends only what is left.
    (tmp_path / "cantabria").mkdir()
    (tmp_path / "cantabria.toml").write_text("limit.queue = 5")
    for name in ("a", "b"):
        (tmp_path / f"cantabria/{name}.toml").write_text("limit.queue = 6")
    wanted = declaration.Declaration.from_directory(str(tmp_path))
    async with Operators() as both:
        both.ana.journal.listen(lambda _: setattr(both.log, "down", True))
        plan = plans.Plan.between(both.ana.fold, wanted)
        told = await both.ana.apply(plan, "", timeout_s=1.0)
        assert [t.verdict for t in told] == [
            "accepted",
            "unknown",
            "not sent",
        ]
        both.ana.journal.listeners.clear()
        both.log.down = False
        again = plans.Plan.between(both.ana.fold, wanted)
        assert [n.node for n in again.nodes] == [
            "cantabria/a",
            "cantabria/b",
        ]
        told = await both.ana.apply(again, "")
        assert [t.verdict for t in told] == ["accepted", "accepted"]


@pytest.mark.looptime
async def test_a_revert_is_a_new_change():
    async with Operators() as both:
        for value in (5, 6):
            plan = edit(both.ana, SERVICE, "limit.queue", value)
            await both.ana.publish(plan, "")
        entry = both.ana.fold.history[1]
        back = plans.inverse(
            entry.change, entry.before, both.ana.fold.nodes[SERVICE]
        )
        told = await both.ana.publish(back, "reverts 2")
        assert told.revision == 3
        assert both.ana.fold.nodes[SERVICE].values == {"limit.queue": 5}


@pytest.mark.looptime
async def test_settings_outlive_the_log_that_held_them():
    # The log forgets the changes after a snapshot was written. A host
    # that starts then has the same tree, and an operator's next change
    # against it is accepted.
    async with Operators() as both:
        for value in (5, 6):
            plan = edit(both.ana, SERVICE, "limit.queue", value)
            await both.ana.publish(plan, "")
        keeper = compaction.Compactor(
            both.ana.journal, 100.0, lambda: 0.0, lambda: 0
        )
        await keeper.write_snapshot()
        both.log.truncate(settings.STREAM, both.ana.fold.next - 1)
        late = publishers.Publisher(both.log, "late")
        await late.start()
        assert late.fold.nodes[SERVICE].values == {"limit.queue": 6}
        told = await late.publish(edit(late, SERVICE, "limit.queue", 7), "")
        assert told.verdict == "accepted" and told.revision > 2
        await late.stop()
