"""The list of sites of a regression run, and how an outcome is read."""

import pathlib

import msgspec
import pytest

from bench import regression

LIST = pathlib.Path(regression.__file__).with_name("regression.toml")


def test_the_list_of_sites_is_read():
    sites = regression.load(LIST)
    assert len({site.file for site in sites}) == len(sites)
    assert all(site.days >= 8 for site in sites)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ('[[site]]\nfile = "a.toml"\n', "days"),
        ("[[site]]\nfile = 3\ndays = 8\n", "file"),
    ],
)
def test_a_bad_list_names_the_field(tmp_path, text, named):
    path = tmp_path / "list.toml"
    path.write_text(text)
    with pytest.raises(msgspec.ValidationError, match=named):
        regression.load(path)


@pytest.mark.parametrize(
    ("output", "code", "good"),
    [
        ("trouble-1  9/12  1.00\nGATE passed\n", 0, True),
        ("GATE failed: a rule\n", 1, False),
        ("GATE passed\n", 1, False),
        ("40 days on a, 0 with a rule broken\nquiet-1 1.0\n", 0, True),
        ("40 days on a, 1 with a rule broken\nquiet-1 1.0\n", 0, False),
        ("built in 8 s\nquiet-1 is played, after 3 s\n", 0, False),
        ("", 0, False),
    ],
)
def test_an_outcome_is_read_from_what_a_run_prints(output, code, good):
    """A run that gave no verdict must not pass for one that did."""
    assert regression.verdict_of(output, code).good is good
