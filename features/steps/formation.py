"""Steps about the formation of a fleet: the reducers of three cores, and a random order of what happens to them."""

import functools
import heapq
import random
from datetime import UTC, datetime, timedelta
from unittest import mock

from behave import given, then, when

from quillstall.controlplane import core, founding
from quillstall.runtime.disk import Put
from quillstall.runtime.effect import Ask, Heard, Note, Return, Tick, Told, Write, Wrote

START = datetime(2026, 1, 1, tzinfo=UTC)
TICK = timedelta(milliseconds=100)
CALL_TIMEOUT = timedelta(milliseconds=1000)  # of an Ask
ADDRESSES = ('127.0.0.1:1', '127.0.0.2:1', '127.0.0.3:1')
TROUBLE_SPAN = timedelta(seconds=4)
CALM_SPAN = timedelta(seconds=12)
LOSS_SHARE = 0.2
KILL_SHARE_PER_TICK = 0.04


class Seed:
    """One core: its disk, its state while it runs, and how often it was started."""

    def __init__(self, address, first_start):
        self.address = address
        self.disk = {}
        self.state = None
        self.starts = 0
        self.names = 0
        self.first_start = first_start
        self.notes = []

    def start(self, now):
        """Start the process from its disk; only the very first start is told that it is one."""
        settings = {
            'address': self.address,
            'zone': self.address,
            'seeds': list(ADDRESSES),
            'role': 'core',
            'losses': 1,
            'lone': True,
        }
        if self.first_start is not None:
            settings['founding'] = self.first_start and self.starts == 0
        self.starts += 1
        if not self.disk:
            self.names += 1
            name = Put('', 'id', f'{self.address}/{self.names}')
            self.write((name, *founding.first_start_rows(settings)))
        self.state = core.load(
            self.disk['']['id'], settings, {p: dict(r) for p, r in self.disk.items()}, self.starts * 1000, now
        )

    def write(self, puts):
        """Apply rows to the disk."""
        for put in puts:
            if put.key is None:
                self.disk.pop(put.part, None)
            elif put.value is None:
                self.disk.get(put.part, {}).pop(put.key, None)
            else:
                self.disk.setdefault(put.part, {})[put.key] = put.value

    def fleet(self):
        """Return the id of the fleet that this core belongs to, as its disk has it."""
        return (self.disk.get('', {}).get('fleet') or {}).get('id')


class Town:
    """Three seeds, and all that is on its way between them, in the order of a random generator."""

    def __init__(self, dice, first_start, may_lose_disk):
        self.dice = dice
        self.now = START
        self.queue = []
        self.count = 0
        self.calls = {}
        self.seeds = {address: Seed(address, first_start) for address in ADDRESSES}
        self.may_lose_disk = may_lose_disk
        self.sync_delay = timedelta(0)  # beside a random part
        self.troubled = False
        self.fleets = set()
        self.killed_after_promise = False

    def after(self, delay, action):
        """Do something later."""
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay, self.count, action))

    def later(self):
        """Return a random delay of a message or a write; messages may pass one another."""
        return timedelta(milliseconds=self.dice.choice((1, 5, 20, 80 if self.troubled else 5)))

    def start(self, address):
        """Start a core and its ticks."""
        seed = self.seeds[address]
        seed.start(self.now)
        self.tick(seed, seed.starts)

    def tick(self, seed, life):
        """Give a core its next tick, as long as it runs."""
        if seed.state is None or seed.starts != life:
            return
        self.step(seed, Tick())
        if self.troubled and self.dice.random() < KILL_SHARE_PER_TICK:
            self.kill(seed)
            return
        self.after(TICK, lambda: self.tick(seed, life))

    def kill(self, seed):
        """Kill a core, and start it again after a while; its disk may be lost, once in a history."""
        promised = seed.state.fleet is None and seed.state.formation.acceptor.promised > 0
        self.killed_after_promise |= promised
        seed.state = None
        if self.may_lose_disk:
            self.may_lose_disk = False
            seed.disk = {}
        self.after(
            timedelta(milliseconds=self.dice.choice((100, 700, 2500))), lambda: self.start(seed.address)
        )

    def step(self, seed, event):
        """Give a core an event and carry out the effects."""
        seed.state, effects = core.step(seed.state, event, self.now)
        life = seed.starts
        for effect in effects:
            if type(effect) is Ask:
                self.send(seed, life, effect)
            elif type(effect) is Return:
                self.reply(effect)
            elif type(effect) is Write:
                self.after(
                    self.sync_delay + self.later(), lambda effect=effect: self.sync(seed, life, effect)
                )
            elif type(effect) is Note:
                seed.notes.append((effect.kind, effect.facts))

    def sync(self, seed, life, effect):
        """Bring a write to the disk, unless the core was killed before."""
        if seed.state is None or seed.starts != life:
            return
        seed.write(effect.puts)
        if seed.fleet():
            self.fleets.add(seed.fleet())
        self.step(seed, Wrote(effect.tag))

    def lost(self):
        """Return whether a message is lost."""
        return self.troubled and self.dice.random() < LOSS_SHARE

    def send(self, seed, life, ask):
        """Carry a message to the core at an address, and its reply back."""
        address = ask.to if ':' in ask.to and '/' not in ask.to else ask.to.partition('/')[0]
        self.count += 1
        call = self.count

        def finish(reply):
            if self.calls.pop(call, None) and seed.state is not None and seed.starts == life:
                self.step(seed, Heard(ask.tag, reply))

        self.calls[call] = finish
        self.after(CALL_TIMEOUT, lambda: finish(None))
        if self.lost():
            return
        self.after(self.later(), lambda: self.deliver(address, call, ask.message))

    def deliver(self, address, call, message):
        """Give a message to a core, if it runs."""
        target = self.seeds.get(address)
        if target and target.state is not None:
            self.step(target, Told(call, message))

    def reply(self, effect):
        """Carry a reply back to the core that waits for it."""
        finish = self.calls.get(effect.call)
        if finish and not self.lost():
            self.after(self.later(), lambda: finish(effect.reply))

    def play(self, span):
        """Let time pass."""
        end = self.now + span
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end


@given('three cores in their first start, with {machines}')
def cores_in_first_start(context, machines):
    context.may_lose_disk = machines.startswith('one disk')
    slow = machines.startswith('disks that take')
    context.sync_delay = timedelta(seconds=float(machines.split()[3])) if slow else timedelta(0)


@when('{count:d} random histories of messages, losses, kills and restarts are played from seed {seed:d}')
def play_histories(context, count, seed):
    context.histories = [
        (number, play_history(random.Random(f'{seed} {number}'), context.may_lose_disk, context.sync_delay))
        for number in range(count)
    ]


def play_history(dice, may_lose_disk, sync_delay=timedelta(0)):
    """Return three seeds after a time of troubles and a calm time."""
    town = Town(dice, True, may_lose_disk)
    town.sync_delay = sync_delay
    town.troubled = True
    for address in ADDRESSES:
        delay = timedelta(milliseconds=dice.choice((0, 50, 300, 1800)))
        town.after(delay, functools.partial(town.start, address))
    town.play(TROUBLE_SPAN)
    town.troubled = False
    town.play(CALM_SPAN)
    return town


@then('in none of them two different fleets are founded')
def one_fleet(context):
    wrong = [(number, town.fleets) for number, town in context.histories if len(town.fleets) > 1]
    assert not wrong, wrong[:5]


def agree_always(acceptor, message):
    """Vote as an acceptor that keeps no promise."""
    promised = max(acceptor.promised, message['round'])
    if message['k'] == 'formation_prepare':
        return acceptor._replace(promised=promised), True
    return founding.Acceptor(promised, message['round'], message['fleet']), True


BREAKS = {
    'seeds agree to every proposer': ('vote', agree_always),
    'proposers ignore what was accepted before': ('newest_accepted', lambda promises: None),
}


@given('a formation in which {name}')
def broken_formation(context, name):
    patch = mock.patch.object(founding, *BREAKS[name])
    patch.start()
    context.add_cleanup(patch.stop)


@then('in some of them two different fleets are founded')
def two_fleets(context):
    assert any(len(town.fleets) > 1 for _, town in context.histories)


@then('in each of them a fleet is formed once the troubles are over')
def fleet_formed(context):
    wrong = [
        (number, [(seed.address, seed.fleet()) for seed in town.seeds.values()])
        for number, town in context.histories
        if sum(seed.fleet() is not None for seed in town.seeds.values()) < 2
    ]
    assert not wrong, (len(wrong), wrong[:5])


@then('in at least one of {count:d} a core was killed between its promise and the fleet')
def killed_between(context, count):
    killed = sum(town.killed_after_promise for _, town in context.histories)
    assert killed * count >= len(context.histories), killed


@given('three cores that do not say whether this is their first start, one of them down')
def cores_without_word(context):
    context.town = Town(random.Random(1), None, False)
    for address in ADDRESSES[:2]:
        context.town.start(address)


@when('{seconds:d} s pass')
def time_passes(context, seconds):
    context.town.play(timedelta(seconds=seconds))


@then('none of them has a fleet')
def none_has_fleet(context):
    assert not context.town.fleets, context.town.fleets


@then('each of the two has logged that it has no fleet, and which seeds say the same')
def logged_no_fleet(context):
    for address in ADDRESSES[:2]:
        facts = [facts for kind, facts in context.town.seeds[address].notes if kind == 'no_fleet']
        assert facts and facts[-1]['without_fleet'] == list(ADDRESSES[:2]), facts


@when('the third starts')
def third_starts(context):
    context.town.start(ADDRESSES[2])


@then('all three have the same fleet within {seconds:d} s')
def same_fleet(context, seconds):
    context.town.play(timedelta(seconds=seconds))
    fleets = {seed.fleet() for seed in context.town.seeds.values()}
    assert len(fleets) == 1 and None not in fleets, fleets
