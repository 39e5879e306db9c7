"""Checks from outside what callers and engines saw of jobs."""

__all__ = ["History", "answer_text"]

import collections
import dataclasses
import json

from camphortray import standin_engine


def answer_text(body):
    """Return the text an engine gives to the body of a request."""
    prompt = standin_engine.prompt_of(body)
    count = body["max_tokens"]
    return "".join(
        standin_engine.token_text(prompt, index) for index in range(count)
    )


@dataclasses.dataclass
class Seen:
    """What was seen of one job.

    Attributes:
      items: Bodies of its requests, in order.
      idempotent: Whether items may run again.
      lines: Result lines by item, as first read.
      cancelled: Items with a result when the cancel was accepted.
    """

    items: list
    idempotent: bool = True
    lines: dict = dataclasses.field(default_factory=dict)
    cancelled: set | None = None


class History:
    """Everything that was seen; ``faults`` lists what must not be.

    Attributes:
      jobs: Accepted jobs by id.
      refused: Ids of jobs refused as not run, and never accepted.
      lost, doubled: Numbers of items without a result, and with two.
    """

    def __init__(self):
        self.jobs = {}
        self.refused = set()
        self.faults = []
        self.lost = 0
        self.doubled = 0

    def accepted(self, job, items, idempotent=True):
        """Note that a caller was told that a job is accepted."""
        self.refused.discard(job)
        self.jobs.setdefault(job, Seen(items, idempotent))

    def cancelled(self, job, lines):
        """Note the results read when a cancel had been accepted."""
        self.read(job, lines)
        if self.jobs[job].cancelled is None:
            self.jobs[job].cancelled = set(self.jobs[job].lines)

    def read(self, job, lines):
        """Note lines that a caller read; they may never change."""
        seen = self.jobs[job]
        counted = collections.Counter()
        for line in lines:
            result = json.loads(line)
            item = result["item"]
            counted[item] += 1
            held = seen.lines.setdefault(item, line)
            if held != line or counted[item] > 1:
                self.doubled += 1
                self.faults.append(f"{job} item {item} changed")
            if seen.cancelled is not None and item not in seen.cancelled:
                self.faults.append(f"{job} item {item} after the cancel")
            self.check_text(job, result)

    def check_text(self, job, result):
        """Check an answer byte by byte."""
        body = self.jobs[job].items[result["item"]]
        if result["status"] != "done":
            return
        choice = result["body"]["choices"][0]
        text = choice["message"]["content"]
        if text != answer_text(body) or choice["finish_reason"] != "length":
            self.faults.append(f"{job} item {result['item']}: {text!r}")

    def finish(self, sent):
        """Check the whole; ``sent`` are ids of requests at engines."""
        runs = collections.Counter(
            request.partition(".")[0] for request in sent
        )
        for job, seen in self.jobs.items():
            missing = set(range(len(seen.items))) - set(seen.lines)
            if missing and seen.cancelled is None:
                self.lost += len(missing)
                self.faults.append(f"{job} lost {sorted(missing)}")
            for item in range(len(seen.items)):
                if not seen.idempotent and runs[f"{job}-{item}"] > 1:
                    self.faults.append(f"{job} item {item} ran twice")
        for request in sent:
            if request.partition("-")[0] in self.refused:
                self.faults.append(f"{request} ran, but was refused")
        return self.faults
