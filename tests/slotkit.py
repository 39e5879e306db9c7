"""Books of slots, wants, and what is decided on them, for tests."""

from camphortray import slot_scheduler


def book_of(engines=2, slots=2):
    """Return a book of some engines."""
    book = slot_scheduler.SlotScheduler()
    book.set_engines(
        [slot_scheduler.EngineSlots(f"e{n}", slots) for n in range(engines)],
        0.0,
    )
    return book


def online(name, at=0.0, **fields):
    """Return the want of a question."""
    given = {"objective_s": 0.3, "left_s": 5.0, **fields}
    return slot_scheduler.SlotRequest(name, "h", True, asked_at=at, **given)


def item(name, due_at=18.0, work_s=4.8, **fields):
    """Return the want of a batch item."""
    return slot_scheduler.SlotRequest(
        name, "h", False, due_at=due_at, work_s=work_s, **fields
    )


def kinds(decisions):
    """Return kind and id of each decision."""
    return [(type(d).__name__, d.want.id) for d in decisions]


def fill(book, count, make=online, now=0.0):
    """Take some slots."""
    for number in range(count):
        book.ask(make(f"{make.__name__}{number}"), now)
