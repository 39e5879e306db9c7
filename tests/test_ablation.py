"""The reading of an ablation's plays, and its table."""

import tomllib

from camphortray_platform import names
import pytest

from bench import ablation

SAMPLE = """\
built in 7.3 s; 36289 lines in 252 files
day                  own/srv  score  worth served refused failed  weakest part
trouble-1               12/9   1.00  0.760  0.905   0.000  0.005  worst windows

worth 0.760 = whole day 0.905 (weight 0.75), worst windows 0.333 less prices
  -0.0189  1105.0 new connections to servers

class                asked  in aim   late refused failed not owed  wor\
th   p50 ms   p99 ms
slot-booking           442     430      6       0      6        0  0.9\
77     82.1   1088.7
fee-question           588     565     23       0      0        0  0.9\
66     82.2   1402.1
steward-roster         173     125     25       0      0       23  0.8\
31  11753.4  24305.9

clients' zone        asked  in aim   late refused failed not owed  wor\
th   p50 ms   p99 ms
th-north-a             397     364     16       0      3       14  0.9\
15     82.7  22666.9

- 17 lots with 173 items: 17 accepted, 0 refused, 2 ended by the client
- 1105 new connections to servers for 2314 requests
"""
ITEMS = frozenset({"steward-roster"})
DEPLOY = 'build = "b"\n\n[roles.host]\nrun = "python3 a.py"\non = "front"\n'


def test_figures_are_read_from_what_a_play_prints():
    assert ablation.figures_of(SAMPLE, ITEMS) == ablation.Figures(
        worth=0.760,
        questions=995,
        asked=1030,
        items=125 / 150,
        connections=1105,
        p99_ms=1402.1,
    )


@pytest.mark.parametrize("lost", ["worth 0.760", "class  ", "- 1105 new"])
def test_a_play_that_lacks_a_figure_gives_none(lost):
    with pytest.raises(ValueError, match="missing"):
        ablation.figures_of(SAMPLE.replace(lost, "?"), ITEMS)


def test_classes_of_items_are_those_of_the_site():
    site = '[[classes]]\nname = "a"\nkind = "batch"\n[[classes]]\nname = "b"'
    found = ablation.items_classes(tomllib.loads(site + '\nkind = "stream"'))
    assert found == {"a"}


def test_a_switch_is_one_line_of_the_deploy_file():
    text = ablation.deploy_without(DEPLOY, "handover")
    assert tomllib.loads(text)["roles"]["host"] == {
        "run": "python3 a.py",
        "on": "front",
        "env": {names.EXPERIMENTS_VARIABLE: "handover"},
    }
    assert len(text.splitlines()) == len(DEPLOY.splitlines()) + 1
    assert ablation.deploy_without(DEPLOY, "") == DEPLOY
    with pytest.raises(ValueError, match="env"):
        ablation.deploy_without(text, "zone")


def test_a_list_names_each_play_and_no_unknown_switch():
    listed = {"sites": ["s"], "days": ["d"], "seeds": [1, 2], "off": [""]}
    assert ablation.plays_of(listed) == [
        ablation.Play("", "s", "d", 1),
        ablation.Play("", "s", "d", 2),
    ]
    with pytest.raises(ValueError, match="handovr"):
        ablation.plays_of({**listed, "off": ["", "handovr"]})


def test_the_list_kept_here_is_one():
    path = ablation.ROOT / "bench" / "ablation.toml"
    assert ablation.plays_of(tomllib.loads(path.read_text()))


def test_the_table_tells_mean_spread_and_plays_that_failed():
    one = ablation.Figures(0.7, 900, 1000, 0.8, 1100, 1200.0)
    two = ablation.Figures(0.8, 1000, 1002, 0.9, 1200, 1400.0)
    found = {
        ablation.Play("", "f/site.toml", "d", 1): one,
        ablation.Play("", "f/site.toml", "d", 2): two,
        ablation.Play("zone", "f/site.toml", "d", 1): None,
        ablation.Play("zone", "f/site.toml", "d", 2): two,
        ablation.Play("prefix", "f/site.toml", "d", 1): None,
    }
    lines = ablation.table(found).splitlines()
    assert lines[2] == (
        "| site, d | nothing | 2 of 2 | 0.750 (0.700 to 0.800)"
        " | 950 (900 to 1,000) | 1,001 (1,000 to 1,002)"
        " | 0.850 (0.800 to 0.900) | 1,150 (1,100 to 1,200)"
        " | 1,300 (1,200 to 1,400) |"
    )
    assert lines[3].startswith("| site, d | zone | 1 of 2 | 0.800 (0.800 to")
    assert lines[4].startswith("| site, d | prefix | 0 of 1 | none |")
