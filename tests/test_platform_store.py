"""Answers of the platform's store, whatever they hold."""

import base64
import json

from camphortray_platform import store as stores
import pytest

from camphortray import config as configs
from camphortray import errors
from camphortray import hostlist
from camphortray import ledger

DEEP = b"[" * 60_000 + b"]" * 60_000


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        b'{"more":%s}' % DEEP,
        b'{"items":{},"end":1,"parts":{},"generation":1}',
        b'{"items":[],"parts":[[1]],"generation":1}',
        b'{"items":[],"parts":[["t","x","m"]],"generation":1}',
        b"[]",
        b"\xff",
    ],
    ids=range(7),
)
@pytest.mark.parametrize("status", [200, 409, 410, 429, 500])
async def test_an_odd_answer_of_the_store_is_an_error_of_the_store(
    status, body, monkeypatch
):
    """Guards against callers of the store that end with another error."""
    held = stores.StoreLedger.from_config(configs.LedgerConfig("127.0.0.1:9"))

    async def call(*_, **__):
        return status, {}, body

    monkeypatch.setattr(held.client, "call", call)
    topic = ledger.Topic.HOSTS
    for asked in (
        held.newest(topic),
        held.join("m", 0, 1.0),
        held.owners(),
        hostlist.LedgerHostList(held).read(),
    ):
        with pytest.raises(errors.LogError):
            await asked


def item(key="k", value=b"v", **fields):
    """Return a record of a listing."""
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "offset": 1, **fields}


@pytest.mark.parametrize(
    "odd",
    [
        item(key=5),
        item(key=None),
        item(value=b"", offset="x"),
        {"value": "dg=="},
        item() | {"value": "no base64"},
        item() | {"value": 7},
        [],
        None,
    ],
    ids=str,
)
async def test_one_odd_record_hides_no_others_of_a_listing(odd, monkeypatch):
    """Guards against a host that reads nothing as one record is odd."""
    held = stores.StoreLedger.from_config(configs.LedgerConfig("127.0.0.1:9"))
    pages = [([item("a"), odd], True), ([odd, item("b")], False)]

    async def call(*_, **__):
        items, more = pages.pop(0)
        told = {"items": items, "hasMore": more, "end": 3}
        return 200, {}, json.dumps(told).encode()

    monkeypatch.setattr(held.client, "call", call)
    page = await held.newest(ledger.Topic.ENGINES)
    assert [(r.key, r.value) for r in page.records] == [
        ("a", b"v"),
        ("b", b"v"),
    ]
