"""Tests of the settings of a host."""

import pytest

from camphortray import config as configs
from camphortray import errors

GOOD = """
[host]
name = "santander-1"
availability_zone = "santander-hall"
region = "cantabria"
[log]
address = "127.0.0.1:9000"
[hostlist]
address = "127.0.0.1:9000"
"""


def test_good_settings_are_read():
    config = configs.Config.from_toml(GOOD)
    assert config.host.availability_zone == "santander-hall"
    assert config.shards.jobs == 16


@pytest.mark.parametrize(
    ("change", "key", "found"),
    [
        (('name = "santander-1"', 'name = ""'), "host.name", "''"),
        (('name = "santander-1"', ""), "host.name", "nothing"),
        (("name =", "nam ="), "host.nam", "a key"),
        (("127.0.0.1:9000", "log.example:9000"), "log.address", "'log."),
        (("[log]", "[log]\ntimeout_s = -1"), "log.timeout_s", "-1"),
    ],
)
def test_faults_name_file_key_and_value(change, key, found):
    with pytest.raises(errors.ConfigError) as caught:
        configs.Config.from_toml(GOOD.replace(*change), "a.toml")
    text = str(caught.value)
    assert f"a.toml: {key}: found {found}" in text
    assert "expected" in text


def test_all_faults_are_told_at_once():
    text = GOOD.replace("santander-1", "").replace("127.0.0.1", "x")
    with pytest.raises(errors.ConfigError) as caught:
        configs.Config.from_toml(text)
    keys = {fault.key for fault in caught.value.faults}
    assert keys == {"host.name", "log.address", "hostlist.address"}


def test_a_missing_file_is_a_fault():
    with pytest.raises(errors.ConfigError, match="nowhere.toml"):
        configs.Config.from_file("nowhere.toml")
