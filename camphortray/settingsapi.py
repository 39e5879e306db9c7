"""Tells operators which settings are in force on a host, and since when."""

__all__ = ["SettingsApi"]

import collections
from typing import ClassVar

from camphortray import kernel
from camphortray import settings
from camphortray import tree
from camphortray import web

# Revisions whose time of coming into force is remembered.
REMEMBERED = 256


@kernel.PARTS.register("entry", "batch")
class SettingsApi(kernel.Part):
    """``GET /v1/admin/settings``.

    Attributes:
      since: Wall-clock time at which each late revision came into force
        here, by revision.
    """

    name: ClassVar[str] = "settingsapi"
    requires: ClassVar[tuple[str, ...]] = ("settings", "routes")

    def __init__(self, context: kernel.Context) -> None:
        self.context = context
        self.tree = context.part(tree.Tree)
        self.since: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.tree.listen(self.on_view)
        context.part(web.Routes).add(
            "GET", "/v1/admin/settings", web.Access.OPERATOR, self.show
        )

    @classmethod
    def from_config(cls, context: kernel.Context) -> "SettingsApi":
        return cls(context)

    def on_view(self, view: settings.View) -> None:
        """Note when a revision came into force."""
        self.since[view.revision] = self.context.clock.wall()
        while len(self.since) > REMEMBERED:
            self.since.popitem(last=False)

    async def show(self, call: web.Call) -> None:
        """Answer with the revision and the times."""
        call.response.send_json(
            200,
            {
                "revision": self.tree.view.revision,
                "in_force_since": {
                    str(revision): at for revision, at in self.since.items()
                },
                "faults": {
                    path: node.faults
                    for path, node in self.tree.view.nodes.items()
                    if node.faults
                },
            },
        )
