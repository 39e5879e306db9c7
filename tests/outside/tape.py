"""A log of another protocol, and an engine of another."""

from camphortray import engine
from camphortray import log


@log.LOG_SERVICES.register("tape")
class Tape(log.MemoryLog):
    """A log that remembers where it was told to be."""

    @classmethod
    def from_config(cls, config):
        made = cls()
        made.address = config.address
        return made


@engine.ENGINES.register("parrot")
class Parrot(engine.MemoryEngine):
    """An engine that answers with what it was asked."""

    def __init__(self):
        super().__init__(lambda upstream, request: [request.body])
