"""Tests of parsing job lines, job parameters and multipart forms."""

import pytest

from camphortray import errors
from camphortray import job_reader
from camphortray import jobparams
from camphortray import multipart

GOOD = b'{"model":"m","messages":[{"role":"user","content":"q"}]}'
WRAPPED = b'{"custom_id":"c","method":"POST","url":"/p","body":' + GOOD + b"}"


def read(data, check=None, size=10_000, limit=1000):
    reader = job_reader.LineReader(check, limit)
    items = []
    for start in range(0, len(data), size):
        items += reader.feed(data[start : start + size])
    return items + list(reader.feed(b"", last=True))


@pytest.mark.parametrize("size", [1, 9, 1000])
def test_lines_are_numbered_however_the_data_is_split(size):
    data = GOOD + b"\r\n\n" + WRAPPED + b"\n" + GOOD
    assert read(data, size=size) == [(1, GOOD), (3, WRAPPED), (4, GOOD)]
    line, body = job_reader.parse_line(WRAPPED)
    assert (bytes(line.body), line.custom_id) == (GOOD, "c")
    assert body.model == "m"


@pytest.mark.parametrize(
    ("line", "check", "reason"),
    [
        (b"{", None, "truncated"),
        (b"[1]", None, "Expected `object`"),
        (b"\xff", None, "malformed"),
        (b'{"body":1}', None, "Expected `object`"),
        (b'{"model":1}', None, "Expected `str`"),
        (b'{"a":"' + b"x" * 1000 + b'"}', None, "longer than"),
        (WRAPPED, job_reader.LineCheck("/q"), "url '/p' is not /q"),
        (WRAPPED.replace(b"POST", b"GET"), None, "method 'GET'"),
        (GOOD, job_reader.FileCheck(("/p",)), "url '' is not /p"),
        (
            WRAPPED.replace(b'"c"', b'""'),
            job_reader.FileCheck(("/p",)),
            "custom_id",
        ),
        (
            WRAPPED + b"\n" + WRAPPED,
            job_reader.FileCheck(("/p",)),
            "custom_id is missing or not unique",
        ),
    ],
)
def test_a_bad_line_is_refused_with_its_number(line, check, reason):
    with pytest.raises(errors.Refused) as caught:
        read(b"\n" + line, check)
    number = 2 + line.count(b"\n")
    assert caught.value.field == f"line {number}"
    assert reason in caught.value.message and caught.value.ran == "no"


def test_prefix_hash_depends_on_model_and_start_of_prompt():
    def prefix_of(model, text):
        return job_reader.prefix_of(
            job_reader.Body(model, ({"role": "system", "content": text},))
        )

    long = "x" * job_reader.PREFIX_CHARS
    assert prefix_of("m", long + "a") == prefix_of("m", long + "b")
    assert (
        len({prefix_of("m", "a"), prefix_of("m", "b"), prefix_of("n", "a")})
        == 3
    )


class FakeService:
    """A service with a kind and job settings."""

    name = "svc"

    def __init__(self, kind="engines"):
        self.kind = kind

    def get(self, key):
        return {"kind": self.kind, "job.keep_s": 9.0, "job.weight": 2.0}[key]


@pytest.mark.parametrize(
    ("query", "headers", "field"),
    [
        ({"service": "none"}, {}, "service"),
        ({"service": "plain"}, {}, "service"),
        ({"due": "x"}, {}, "due"),
        ({"due": "-1"}, {}, "due"),
        ({"due": "nan"}, {}, "due"),
        ({"keep_s": "inf"}, {}, "keep_s"),
        ({"weight": "0"}, {}, "weight"),
        ({"idempotent": "no"}, {}, "idempotent"),
        ({}, {"camphortray-idempotent": "1"}, "idempotent"),
        ({"path": "/v1/x"}, {}, "path"),
        ({"colour": "red"}, {}, "colour"),
        ({}, {"idempotency-key": ""}, "Idempotency-Key"),
        ({}, {"idempotency-key": "k" * 300}, "Idempotency-Key"),
    ],
)
def test_the_refusal_names_the_invalid_parameter(query, headers, field):
    services = {"svc": FakeService(), "plain": FakeService("plain")}
    headers = {"idempotency-key": "k", **headers}
    with pytest.raises(errors.Refused) as caught:
        jobparams.JobParams.from_request(
            {"service": "svc", **query}, headers, services
        )
    assert caught.value.field == field


def test_parameters_not_given_default_to_settings():
    params = jobparams.JobParams.from_request(
        {"service": "svc", "due": "60", "idempotent": "false"},
        {"idempotency-key": "k"},
        {"svc": FakeService()},
    )
    assert (params.due_s, params.keep_s, params.weight) == (60, 9, 2)
    assert not params.idempotent


def form(*parts):
    head = b'--b\r\nContent-Disposition: form-data; name="%s"%s\r\n\r\n%s\r\n'
    return b"".join(head % part for part in parts) + b"--b--\r\n"


@pytest.mark.parametrize("size", [1, 3, 50, 10_000])
def test_a_form_is_parsed_however_the_data_is_split(size):
    file = b"{}\r\n--not\r\n-\r\n--c"
    data = form(
        (b"purpose", b"", b"batch"),
        (b"file", b'; filename="in.jsonl"', file),
        (b"empty", b"", b""),
    )
    reader = multipart.Form.from_content_type(
        "multipart/form-data; boundary=b"
    )
    fields = {}
    for start in range(0, len(data), size):
        for event in reader.feed(data[start : start + size]):
            if isinstance(event, multipart.Part):
                name, fields[event.name] = event.name, b""
            else:
                fields[name] += event.body
    assert reader.ended
    assert fields == {"purpose": b"batch", "file": file, "empty": b""}


@pytest.mark.parametrize("text", ["", "text/plain", "multipart/form-data"])
def test_a_content_type_without_form_boundary_is_refused(text):
    with pytest.raises(errors.Refused):
        multipart.Form.from_content_type(text)
