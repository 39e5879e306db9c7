"""Jobs as they are sent: what is refused, and what can be sent on."""

import json

from camphortray_platform import engines
from camphortray_platform import jobsfront
import pytest

from camphortray import clientconnection
from camphortray import config as configs
from camphortray import engine
from camphortray import errors

UPSTREAM = engine.Upstream("e0", configs.Address("127.0.0.1", 1), "z", "m")


def lot(**changed):
    """Return a job of one item as it is sent."""
    item = {"id": "i1", "path": "/p/x", "headers": {}, "body": "", "tokens": 1}
    return json.dumps({"items": [item | changed]}).encode()


@pytest.mark.parametrize(
    "changed",
    [
        {"id": "\u2603"},
        {"id": "a\nb"},
        {"id": " a"},
        {"id": "a\u0000"},
        {"path": "/p x"},
        {"path": ""},
        {"headers": {"a": "\u2603"}},
        {"headers": {"a": " b "}},
        {"headers": {"": "x"}},
        {"body": "\u2603\u2603"},
    ],
    ids=lambda changed: ascii(changed),
)
def test_what_cannot_be_sent_is_refused_with_its_job(changed):
    # Accepted, such an item fails at each run until its time is over.
    with pytest.raises(errors.Refused) as refused:
        jobsfront.read_items(lot(**changed))
    assert refused.value.status == 400
    assert refused.value.field == "items"


@pytest.mark.parametrize(
    "headers",
    [
        {"Content-Length": "5"},
        {"Transfer-Encoding": "gzip"},
        {"Connection": "close"},
        {"Host": "other"},
        {"a": "caf\u00e9"},
    ],
    ids=ascii,
)
def test_what_is_taken_can_be_sent(headers):
    (item,) = jobsfront.read_items(lot(headers=headers))
    request = engine.EngineRequest(
        item.id,
        item.target,
        item.body,
        True,
        1.0,
        batch=True,
        silence_s=2.0,
        headers=(("host", "h"), *item.headers),
        resume_after="",
    )
    head = clientconnection.request_of(
        "POST", item.target, engines.headers_of(UPSTREAM, request)
    )
    assert [value for name, value in head.headers if name == b"host"] == [b"h"]
