"""Source files as trees, for tests that read the code."""

import ast
import gc


def parse(text):
    """Return the tree of a source, with no collection of garbage meanwhile.

    In Python 3.11 a parse within a parse ends with ``SystemError``, and a
    collected task that failed prints its trace, for which lines are parsed.
    """
    was_on = gc.isenabled()
    gc.disable()
    try:
        return ast.parse(text)
    finally:
        if was_on:
            gc.enable()
