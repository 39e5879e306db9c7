"""Slot schedulers and requests for tests, and summaries of decisions."""

from camphortray import slot_scheduler


def scheduler_of(engines=2, slots=2, **options):
    """Return a scheduler for some engines."""
    scheduler = slot_scheduler.SlotScheduler(**options)
    scheduler.set_engines(
        [slot_scheduler.EngineSlots(f"e{n}", slots) for n in range(engines)],
        0.0,
    )
    return scheduler


def online(name, at=0.0, **fields):
    """Return an online request."""
    given = {"objective_s": 0.3, "left_s": 5.0, **fields}
    return slot_scheduler.SlotRequest(name, "h", True, asked_at=at, **given)


def item(name, due_at=18.0, work_s=4.8, **fields):
    """Return the request of a batch item."""
    return slot_scheduler.SlotRequest(
        name, "h", False, due_at=due_at, work_s=work_s, **fields
    )


def kinds(decisions):
    """Return the kind and request id of each decision."""
    return [(type(d).__name__, d.want.id) for d in decisions]


def fill(scheduler, count, make=online, now=0.0):
    """Ask for ``count`` slots."""
    for number in range(count):
        scheduler.ask(make(f"{make.__name__}{number}"), now)
