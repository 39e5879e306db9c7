"""Routes of requests and of accepted jobs."""

import msgspec
import pytest

from camphortray import routemap
from tests import hostkit

# It accepts jobs at /p/x, whose items have the path /p/3/y.
TAKEN = hostkit.BATCH_ROUTE
PATH = "/p/x"
replace = msgspec.structs.replace


def other(prefix, **changes):
    """Return a batch route of another service."""
    targets = (routemap.Target("other"),)
    return replace(
        TAKEN, name="other", prefix=prefix, targets=targets, **changes
    )


MOVED = replace(TAKEN, targets=(routemap.Target("s2"),))
SPLIT = replace(
    TAKEN, targets=(routemap.Target("s2", 1.0), routemap.Target("s2", 9.0))
)


@pytest.mark.parametrize(
    ("routes", "service"),
    [
        ([TAKEN, other("/p/3/")], "s"),
        ([TAKEN, other("/p/x")], "s"),
        ([TAKEN, other("/")], "s"),
        ([TAKEN, other("/p/", host_name="h2")], "s"),
        ([MOVED, other("/p/3/")], "s2"),
        ([SPLIT, other("/p/x")], "s2"),
        # Its operator renames it, or moves it to another path or host name.
        ([replace(MOVED, name="n"), other("/p/x")], "s2"),
        ([replace(TAKEN, prefix="/q/"), other("/p/")], "s"),
        ([replace(TAKEN, host_name="h2"), other("/p/")], "s"),
        ([other("/")], None),
        ([other("/p/x")], None),
        ([replace(TAKEN, name="n", host_name="h2")], None),
        ([replace(TAKEN, kind=routemap.Kind.STREAM), other("/")], None),
        ([], None),
    ],
)
def test_a_job_stays_with_the_route_that_accepted_it(routes, service):
    """Guards against items taken by a route that covers a path of theirs."""
    found = routemap.RouteMap(routes).find_accepting("h", PATH, TAKEN.id)
    assert (found and found.service_of("i")) == service


@pytest.mark.parametrize(
    ("routes", "service"),
    [
        ([TAKEN, other("/p/3/")], "s"),
        ([TAKEN, other("/p/x")], "other"),
        ([MOVED], "s2"),
        ([], None),
    ],
)
def test_a_job_of_an_earlier_release_goes_by_its_own_path(routes, service):
    """Guards against such jobs being lost or run by their items' paths."""
    found = routemap.RouteMap(routes).find_accepting("h", PATH, msgspec.UNSET)
    assert (found and found.service_of("i")) == service
