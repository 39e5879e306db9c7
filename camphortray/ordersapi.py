"""Tells operators what was ordered of each upstream."""

__all__ = ["OrdersApi"]

from typing import Any
from typing import ClassVar

from camphortray import journal
from camphortray import kernel
from camphortray import log_backends
from camphortray import orders
from camphortray import records
from camphortray import shards
from camphortray import web


@kernel.PARTS.register("entry")
class OrdersApi(kernel.Part):
    """``GET /v1/admin/orders``, read from the log's streams."""

    name: ClassVar[str] = "ordersapi"
    requires: ClassVar[tuple[str, ...]] = ("backends", "routes")

    def __init__(self, context: kernel.Context) -> None:
        writer = records.Writer(
            f"{context.config.host.name}/entry", context.incarnation
        )
        self.journals = [
            journal.Journal(
                context.part(log_backends.Backends).log,
                shards.stream_name("orders", number),
                orders.OrdersFold(),
                writer,
                context.rng,
            )
            for number in range(context.config.shards.orders)
        ]
        context.part(web.Routes).add(
            "GET", "/v1/admin/orders", web.Access.OPERATOR, self.show
        )

    @classmethod
    def from_config(cls, context: kernel.Context) -> "OrdersApi":
        return cls(context)

    async def start(self) -> None:
        for held in self.journals:
            held.start()

    async def show(self, call: web.Call) -> None:
        """Answer with the last order of each upstream and its owner."""
        rows = []
        for held in self.journals:
            assert isinstance(held.fold, orders.OrdersFold)
            owner = held.fold.ownership.owner
            rows += [
                row(placed, owner.name if owner else "")
                for placed in held.fold.all()
            ]
        call.response.send_json(200, {"orders": rows})

    async def stop(self) -> None:
        for held in self.journals:
            await held.stop()


def row(placed: orders.Placed, owner: str) -> dict[str, Any]:
    """Return one upstream's last order as an operator reads it."""
    order = placed.intent.order
    answer = placed.answer
    return {
        "service": placed.intent.service,
        "upstream": placed.intent.upstream,
        "action": order.action,
        "model": order.model,
        "version": order.version,
        "adapter": order.adapter,
        "role": order.role,
        "at": placed.intent.at,
        "epoch": placed.epoch,
        "owner": owner,
        "accepted": answer.accepted if answer else None,
        "reason": answer.reason if answer else "no answer yet",
    }
