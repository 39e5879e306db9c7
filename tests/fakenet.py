"""A network among pure nodes, in virtual time, with faults to switch on."""

import heapq
import itertools
import random

from camphortray import members
from camphortray import node as nodes

TICK_S = 0.1
ASK_S = 1.0
DELAY_S = 0.001


class FakeNet:
    """Nodes and what lies between them.

    ``blocked(src, dst, fresh)`` says which messages are lost; names in
    ``paused`` neither act nor read, and what reaches them waits.
    """

    def __init__(self, hosts=6, zones=3, programs=("entry",), seed=1):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.events = []
        self.order = itertools.count()
        self.nodes = {}
        self.paused = {}
        self.blocked = lambda src, dst, fresh: False
        self.log = []
        self.messages = 0
        for number, program in itertools.product(range(hosts), programs):
            self.add(f"h{number}", f"z{number % zones}", program)

    def add(self, host, zone="z0", program="entry", started=1, seeds=None):
        name = f"{host}/{program}"
        # Virtual addresses are names; a replacement gets one of its own.
        address = name if started == 1 else f"{name}#{started}"
        own = members.Member(
            name,
            started,
            members.Status.ALIVE,
            zone,
            address,
            "x",
            started=started,
        )
        if seeds is None:
            seeds = list(self.nodes)[:2]
        node = nodes.Node(own, seeds, random.Random(f"{self.rng.random()}"))
        node.known.on_member = lambda m: self.log.append(
            (round(self.now, 3), name, m.name, m.status)
        )
        self.nodes[address] = node
        node.start(self.now)
        self.at(self.rng.random() * TICK_S, self.tick, address, node)
        return node

    def at(self, delay, action, *args):
        event = (self.now + delay, next(self.order), action, args)
        heapq.heappush(self.events, event)

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = end

    def kill(self, address):
        return self.nodes.pop(address)

    def pause(self, address):
        self.paused[address] = []

    def wake(self, address):
        for action, args in self.paused.pop(address):
            self.at(DELAY_S, action, *args)

    def held_up(self, address, action, *args):
        if address in self.paused:
            self.paused[address].append((action, args))
            return True
        return False

    def tick(self, address, node):
        if self.nodes.get(address) is not node:
            return
        if self.held_up(address, self.tick, address, node):
            return
        self.send(address, node.tick(self.now))
        self.at(TICK_S, self.tick, address, node)

    def send(self, src, asks):
        for ask in asks:
            done = []
            self.messages += 1
            self.at(ASK_S, self.answer, src, ask, None, done)
            if not self.blocked(src, ask.address, ask.fresh):
                self.at(DELAY_S, self.deliver, src, ask, done)

    def deliver(self, src, ask, done):
        node = self.nodes.get(ask.address)
        if node is None or done:
            return
        if self.held_up(ask.address, self.deliver, src, ask, done):
            return
        sender = self.nodes.get(src)
        name = sender.known.own.name if sender else src
        reply = node.receive(name, ask.message, self.now) or "ack"
        if not self.blocked(ask.address, src, ask.fresh):
            self.at(DELAY_S, self.answer, src, ask, reply, done)

    def answer(self, src, ask, reply, done):
        node = self.nodes.get(src)
        if node is None or done:
            return
        if self.held_up(src, self.answer, src, ask, reply, done):
            return
        done.append(True)
        self.send(src, node.answered(ask, reply, self.now))

    def statuses(self, name, among=None):
        """Return what the nodes hold of a member."""
        found = set()
        for address in among or self.nodes:
            held = self.nodes[address].known.directory.members.get(name)
            found.add(str(held.status) if held else "unknown")
        return found
