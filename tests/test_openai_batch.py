"""Tests of the files and batches API with OpenAI's own client."""

import json

import openai
import pytest

from camphortray import cluster as clusters
from tests import jobcluster

item = jobcluster.item


@pytest.fixture(autouse=True)
def hurry(monkeypatch):
    jobcluster.hurry(monkeypatch)


@pytest.fixture
async def cluster_and_client():
    """Yield a cluster and OpenAI's unmodified client for it."""
    async with jobcluster.JobCluster(hosts=2) as cluster:
        address = cluster.hosts["host-1"].address
        async with openai.AsyncOpenAI(
            api_key=clusters.WORKSPACE_KEY,
            base_url=f"http://{address}/v1",
            max_retries=0,
        ) as client:
            yield cluster, client


def batch_lines(count, **more):
    return b"\n".join(
        json.dumps(
            {
                "custom_id": f"c{number}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": item(f"guide {number}"),
                **more,
            }
        ).encode()
        for number in range(count)
    )


async def test_the_openai_client_runs_a_batch(cluster_and_client):
    cluster, client = cluster_and_client
    data = batch_lines(7) + b"\n" + batch_lines(1, custom_id="x", body={})
    file = await client.files.create(file=("in", data), purpose="batch")
    assert (await client.files.content(file.id)).content == data + b"\n"
    batch = await client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
        metadata={"for": "guides"},
    )
    await client.files.delete(file.id)
    name = batch.id.removeprefix("batch_")
    await cluster.ended(name)
    batch = await client.batches.retrieve(batch.id)
    assert (batch.status, batch.metadata) == ("completed", {"for": "guides"})
    counts = batch.request_counts
    assert (counts.total, counts.completed, counts.failed) == (8, 7, 1)
    text = (await client.files.content(batch.output_file_id)).text
    lines = [json.loads(line) for line in text.splitlines()]
    assert [line["custom_id"] for line in lines] == [
        f"c{number}" for number in range(7)
    ]
    content = lines[0]["response"]["body"]["choices"][0]["message"]["content"]
    assert len(content.split()) == 6
    text = (await client.files.content(batch.error_file_id)).text
    assert [json.loads(x)["custom_id"] for x in text.splitlines()] == ["x"]
    listed = [entry.id async for entry in client.batches.list()]
    assert listed == [batch.id]
    with pytest.raises(openai.NotFoundError):
        await client.files.retrieve(file.id)


async def test_the_openai_client_cancels_a_batch(cluster_and_client):
    cluster, client = cluster_and_client
    body = item("long", tokens=5000)
    data = batch_lines(1, body=body)
    file = await client.files.create(file=("in", data), purpose="batch")
    batch = await client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
    )
    batch = await client.batches.cancel(batch.id)
    assert batch.status == "cancelled"


@pytest.mark.parametrize(
    ("data", "purpose", "param"),
    [
        (batch_lines(2, custom_id="a"), "batch", "line 2"),
        (batch_lines(2, url="/v1/x"), "batch", "line 1"),
        (batch_lines(2), "fine-tune", "purpose"),
        (b"", "batch", "(body)"),
    ],
)
async def test_a_bad_file_is_refused(cluster_and_client, data, purpose, param):
    cluster, client = cluster_and_client
    with pytest.raises(openai.BadRequestError) as caught:
        await client.files.create(file=("in", data), purpose=purpose)
    assert caught.value.param == param
    for shard in cluster.shards("host-0").shards:
        assert not shard.fold.files and not shard.fold.uploads


async def test_a_batch_must_fit_its_file(cluster_and_client):
    _, client = cluster_and_client
    file = await client.files.create(
        file=("in", batch_lines(1)), purpose="batch"
    )
    for more in (
        {"endpoint": "/v1/completions", "completion_window": "24h"},
        {"endpoint": "/v1/chat/completions", "completion_window": "soon"},
    ):
        with pytest.raises(openai.BadRequestError):
            await client.batches.create(input_file_id=file.id, **more)
