"""Processes with separate clocks in one virtual time; the checks run after every event."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from ringledge.decide.interface import Action, Decider, SendMessage
from tests.simulated.network import Network

MAX_INITIAL_READING_S = 1e6  # clocks start anywhere below: readings of two clocks can't be compared


class Process:
    """A process of a member: its deciders, its clock, and the events pending while it is suspended."""

    def __init__(
        self, world: World, name: str, start_number: int, clock_rate: float, initial_reading_s: float
    ) -> None:
        self.world = world
        self.name = name
        self.start_number = start_number
        self.clock_rate = clock_rate
        self._initial_reading_s = initial_reading_s
        self._started_s = world.true_s
        self.alive = True
        self.suspended = False
        self.routes: dict[type[Any], Decider] = {}  # by type of message
        self.deciders: list[Decider] = []
        self._backlog: list[Callable[[], None]] = []  # events while suspended
        self._next_tick_s = float("inf")  # true time of the next scheduled tick

    def clock_s(self) -> float:
        """The reading of the process's clock, which also runs while the process is suspended."""
        return self._initial_reading_s + (self.world.true_s - self._started_s) * self.clock_rate

    def run(self, event: Callable[[], None]) -> None:
        """Runs an event now, or on `resume` if the process is suspended; drops it if the process is dead."""
        if not self.alive:
            return
        if self.suspended:
            self._backlog.append(event)
            return
        event()
        self.schedule_tick()
        self.world.check(self)

    def call_later(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run an event after a delay by its own clock."""
        self.world.call_at(self.world.true_s + delay_s / self.clock_rate, lambda: self.run(event))

    def execute(self, actions: list[Action]) -> None:
        """Carry out a decider's actions."""
        for action in actions:
            if isinstance(action, SendMessage):
                self.world.send(self.name, action)
            else:
                self.world.notify(self, action)

    def receive(self, sender: str, message: Any) -> None:
        """Handle a datagram."""
        self.execute(self.routes[type(message)].receive(self.clock_s(), sender, message))

    def schedule_tick(self) -> None:
        """Schedule a tick for when the first decider needs it."""
        due_s = min((decider.next_tick_s() for decider in self.deciders), default=float("inf"))
        due_true_s = self._started_s + (due_s - self._initial_reading_s) / self.clock_rate
        tick_s = max(self.world.true_s, due_true_s)
        if tick_s < self._next_tick_s:
            self._next_tick_s = tick_s
            self.world.call_at(tick_s + 1e-6, lambda: self._tick(tick_s))

    def _tick(self, scheduled_s: float) -> None:
        if scheduled_s != self._next_tick_s:
            return  # an earlier one has been scheduled since
        self._next_tick_s = float("inf")
        self.run(self._tick_deciders)

    def _tick_deciders(self) -> None:
        for decider in self.deciders:
            self.execute(decider.tick(self.clock_s()))

    def suspend(self) -> None:
        """As SIGSTOP does."""
        self.suspended = True

    def resume(self) -> None:
        """As SIGCONT does; the events that waited run in any order."""
        self.suspended = False
        backlog = self._backlog
        self._backlog = []
        self.world.random.shuffle(backlog)
        for event in backlog:
            self.run(event)


class World:
    """A simulation of events in true time, determined by a seed."""

    def __init__(self, seed: int, clock_rates: tuple[float, float] = (0.9, 1.1)) -> None:
        self.random = Random(seed)
        self.network = Network(Random(seed + 1))
        self.true_s = 0.0
        self.processes: dict[str, Process] = {}  # by member; the latest of each
        self.start_numbers: dict[str, int] = {}
        self.clock_rates = clock_rates
        self.clock_rate_of: Mapping[str, float] = {}  # by member, where a test fixes it
        self.set_up_process: Callable[[Process], None] = lambda process: None  # adds its deciders
        self.action_listeners: list[Callable[[Process, Any], None]] = []  # of all but SendMessage
        self.checks: list[Callable[[Process], None]] = []  # run after each event of a process
        self.event_count = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []  # heap by time, then order
        self._order = count()

    def call_at(self, true_s: float, event: Callable[[], None]) -> None:
        """Run an event at a true time; events of the same time run in the order of these calls."""
        heappush(self._events, (true_s, next(self._order), event))

    def start(self, name: str) -> None:
        """Starts a process of a member and kills the running one."""
        if name in self.processes:
            self.kill(name)
        previous_start = self.start_numbers.get(name, self.random.randrange(1000))
        self.start_numbers[name] = previous_start + self.random.choice((1, 1, 7, 5000))
        clock_rate = self.clock_rate_of.get(name, self.random.uniform(*self.clock_rates))
        reading_s = self.random.uniform(0, MAX_INITIAL_READING_S)
        process = Process(self, name, self.start_numbers[name], clock_rate, reading_s)
        self.processes[name] = process
        self.set_up_process(process)
        process.schedule_tick()

    def kill(self, name: str) -> None:
        """As SIGKILL does."""
        self.processes[name].alive = False

    def send(self, sender: str, action: SendMessage) -> None:
        """Send a datagram through the network."""
        for delay_s in self.network.delays(sender, action.recipient):
            self.call_at(self.true_s + delay_s, lambda: self._deliver(sender, action))

    def _deliver(self, sender: str, action: SendMessage) -> None:
        if (process := self.processes.get(action.recipient)) is not None:
            process.run(lambda: process.receive(sender, action.message))

    def notify(self, process: Process, action: Any) -> None:
        """Pass a decider's action that isn't a message to the listeners."""
        for listener in self.action_listeners:
            listener(process, action)

    def check(self, process: Process) -> None:
        """Count an event of a process and run the checks."""
        self.event_count += 1
        for check in self.checks:
            check(process)

    def run_until(self, true_s: float) -> None:
        """Run all events up to a true time."""
        while self._events and self._events[0][0] <= true_s:
            self.true_s, _, event = heappop(self._events)
            event()
        self.true_s = true_s

    def run_for(self, duration_s: float) -> None:
        """Run all events of the next `duration_s` of true time."""
        self.run_until(self.true_s + duration_s)
