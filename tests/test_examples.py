"""Checks that the examples of both deployments are good."""

import pathlib

import pytest

from camphortray import config as configs
from camphortray import declaration
from camphortray import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
DEPLOYMENTS = {"association": "cantabria", "heritage": "kyushu-north"}


@pytest.mark.parametrize(("folder", "region"), DEPLOYMENTS.items())
def test_declared_settings_make_a_service_with_six_engines(folder, region):
    found = declaration.Declaration.from_directory(
        str(EXAMPLES / folder / "settings")
    )
    fold = settings.SettingsFold()
    fold.nodes = {p: settings.Node(1, v) for p, v in found.nodes.items()}
    view = settings.View(fold, region)
    engines = [s for s in view.services.values() if s.models]
    assert [len(s.upstreams) for s in engines] == [6]
    assert view.workspaces.holders and view.operators.holders


@pytest.mark.parametrize("folder", DEPLOYMENTS)
def test_hosts_have_good_settings_and_addresses_of_their_own(folder):
    files = sorted((EXAMPLES / folder / "hosts").glob("*.toml"))
    hosts = [configs.Config.from_file(str(file)) for file in files]
    assert len({h.host.availability_zone for h in hosts}) == len(files)
    assert {h.host.region for h in hosts} == {DEPLOYMENTS[folder]}
    listens = [h.entry.listen for h in hosts] + [
        h.peer.entry_listen for h in hosts
    ]
    assert len(set(listens)) == 2 * len(files)
    assert len({h.shards for h in hosts}) == 1
