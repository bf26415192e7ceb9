"""Steps over the pure reducer of replicated parts: members, the messages between them, and their disks."""

from datetime import UTC, datetime, timedelta

from behave import given, then, when

from quillstall.replication import group
from quillstall.replication.group import Grant, Op, ReplicaSet, StartReconfiguration
from quillstall.runtime.effect import Ask, Done, Heard, Propose, Return, Tick, Told, Write, Wrote

PART = 'p'
TRANSFERS = ('pull', 'refill')
TICK = timedelta(milliseconds=100)
ROW_BYTES = 4000  # with 300 rows, more than one message of a transfer holds


def apply(part, rows, command, now):
    """A table of plain rows."""
    if command['op'] == 'read':
        return (), {'ok': True, 'value': rows.get(command['key'])}
    return ((command['key'], command['value']),), {'ok': True}


class Members:
    """A few members of one part, on a clock that the steps move."""

    def __init__(self, names):
        self.now = datetime(2026, 1, 1, tzinfo=UTC)
        self.states = {n: group.State(n) for n in names}
        self.disks = {n: {} for n in names}
        self.unsynced = {n: [] for n in names}  # writes that the disk has not taken yet
        self.stalled = set()
        self.cuts = set()  # (from, to): messages are lost
        self.held = set()  # (from, to): messages wait in `waiting`
        self.waiting = []
        self.events = []
        self.calls = 0
        self.askers = {}
        self.done = {}
        self.proposed = []
        self.transfers_left = None  # so many messages of transfers arrive, then they are lost
        self.starts = 1

    def feed(self, name, event):
        """Give one member an event, then do all that follows from it."""
        self.events.append((name, event))
        while self.events:
            name, event = self.events.pop(0)
            self.states[name], effects = group.step(self.states[name], event, self.now, apply)
            for effect in effects:
                self.perform(name, effect)

    def perform(self, name, effect):
        kind = type(effect)
        if kind is Write:
            self.unsynced[name].append(effect)
            self.sync(name)
        elif kind is Ask:
            self.carry(name, effect)
        elif kind is Return:
            asker, ask = self.askers.pop(effect.call, (None, None))
            if asker and (name, asker) not in self.cuts:
                self.events.append((asker, Heard(ask.tag, effect.ret)))
        elif kind is Done:
            self.done[effect.tag] = effect.ret
        elif kind is Propose:
            self.proposed.append(effect.seat)

    def carry(self, name, ask):
        if (name, ask.to) in self.held:
            self.waiting.append((name, ask))
        elif (name, ask.to) in self.cuts or self.breaks_off(ask):
            self.events.append((name, Heard(ask.tag, None)))
        else:
            self.calls += 1
            self.askers[self.calls] = (name, ask)
            self.events.append((ask.to, Told(self.calls, ask.message)))

    def breaks_off(self, ask):
        """Whether a transfer has had all the messages that it may have before it breaks off."""
        if self.transfers_left is None or ask.message['k'] not in TRANSFERS:
            return False
        self.transfers_left -= 1
        return self.transfers_left < 0

    def release(self, name, to):
        """Let the messages on one way go on."""
        self.held.discard((name, to))
        waiting, self.waiting = self.waiting, []
        for sender, ask in waiting:
            if (sender, ask.to) == (name, to):
                self.carry(sender, ask)
            else:
                self.waiting.append((sender, ask))
        self.settle()

    def sync(self, name):
        """The disk takes all that waits, in order, unless it is stalled."""
        while self.unsynced[name] and name not in self.stalled:
            write = self.unsynced[name].pop(0)
            rows = self.disks[name]
            for put in write.puts:
                if put.key is None:
                    rows.clear()
                elif put.value is None:
                    rows.pop(put.key, None)
                else:
                    rows[put.key] = put.value
            self.events.append((name, Wrote(write.tag)))

    def settle(self):
        if self.events:
            name, event = self.events.pop(0)
            self.feed(name, event)

    def pass_time(self, seconds, until=None):
        """Let time go by; whether `until` came true."""
        for _ in range(int(seconds * 10)):
            self.now += TICK
            for name in self.states:
                self.feed(name, Tick())
            if until and until():
                return True
        return False

    def grant(self, *members, epoch=1, to=None):
        for name in to or self.states:
            self.feed(name, Grant(PART, ReplicaSet(epoch, epoch - 1, *members)))

    def restart(self, name):
        """What was not synced is lost, and so is each message that it was asked."""
        self.unsynced[name] = []
        self.stalled.discard(name)
        self.starts += 1
        rows = {PART: dict(self.disks[name])} if self.disks[name] else {}
        self.states[name] = group.load(name, rows, self.starts * 1_000_000)
        lost = [call for call, (_, ask) in self.askers.items() if ask.to == name]
        for call in lost:
            asker, ask = self.askers.pop(call)
            self.feed(asker, Heard(ask.tag, None))

    def copy(self, name):
        return self.states[name].partitions[PART]

    def serves(self, name):
        """Whether a member answers a read now."""
        tag = ('probe', name, self.now)
        self.feed(name, Op(PART, tag, {'op': 'read', 'key': 'k1'}))
        return self.done.get(tag, {}).get('ok', False)

    def put(self, name, count, first=1, tag='put'):
        for n in range(first, first + count):
            self.feed(
                name, Op(PART, (tag, n), {'op': 'put', 'key': f'k{n}', 'value': f'{n}' + 'x' * ROW_BYTES})
            )


@given('members "{names}" of a part with the replica set "{replicas}"')
def members(context, names, replicas):
    m = context.members = Members(names.split(','))
    m.grant(*replicas.split(','), to=replicas.split(','))
    assert m.serves('a')


@when('{count:d} changes fly in one batch that "a" does not sync and "c" does not get')
def one_batch(context, count):
    m = context.members
    m.held = {('a', 'b'), ('a', 'c')}
    m.put('a', 1 + count)  # the first flies alone, the others wait for it together
    m.release('a', 'c')
    m.cuts.add(('a', 'c'))
    m.stalled.add('a')
    m.release('a', 'b')
    assert m.copy('b').seq == 1 + count and m.copy('c').seq == 1, (m.copy('b').seq, m.copy('c').seq)
    assert m.copy('a').batch and ('put', 2) not in m.done


@when('"{name}" loses its power and starts again')
def power(context, name):
    context.members.restart(name)
    context.members.cuts.clear()


@when('a change does not reach "b", and "a" leads the part to "{replicas}" meanwhile')
def led_away(context, replicas):
    m = context.members
    m.put('a', 300)
    m.cuts |= {('a', 'b'), ('b', 'a')}
    m.put('a', 1, first=301)
    m.feed('a', StartReconfiguration(PART, 'd', ReplicaSet(2, 1, *replicas.split(','))))
    assert m.pass_time(3, lambda: m.proposed), m.copy('a').reconfiguration
    assert m.copy('d').seq == 301 and m.copy('b').seq == 300, (m.copy('d').seq, m.copy('b').seq)
    assert not m.copy('d').log
    context.epoch_two = replicas.split(',')


@when('{count:d} changes are made, the disk of "b" goes back by {lost:d} of them, and one more is under way')
def goes_back(context, count, lost):
    m = context.members
    m.put('a', count - lost)
    old = dict(m.disks['b'])
    m.put('a', lost, first=count - lost + 1)
    m.cuts.add(('a', 'b'))
    m.put('a', 1, first=count + 1)
    m.disks['b'] = old
    m.restart('b')
    assert m.copy('b').seq == count - lost and m.copy('a').batch


@when('"{who}" loses its power in the middle of the transfer')
def broken_off(context, who):
    m = context.members
    m.cuts.clear()
    m.transfers_left = 2
    m.grant(*context.epoch_two, epoch=2)
    m.pass_time(0.3)
    assert m.transfers_left <= 0, 'nothing was transferred'
    m.restart(who)
    m.transfers_left = None


@then('"{name}" serves within {seconds:d} seconds and "{names}" hold the same {count:d} changes')
def hold_the_same(context, name, seconds, names, count):
    m = context.members
    m.cuts.clear()
    if 'epoch_two' in context:
        m.grant(*context.epoch_two, epoch=2)
    assert m.pass_time(seconds, lambda: m.serves(name)), [
        (n, m.copy(n).seq, m.copy(n).ready) for n in names.split(',')
    ]
    for n in names.split(','):
        copy = m.copy(n)
        assert copy.seq == count and len(copy.rows) == count, (n, copy.seq, len(copy.rows))
        on_disk = {k: v for k, v in m.disks[n].items() if not k.startswith('#')}
        assert on_disk == dict(copy.rows), n
        assert m.disks[n]['#mark'][1] == count, n


@when('a change is under way that "{who}" does not sync and "c" does not get')
def under_way(context, who):
    m = context.members
    m.stalled.add(who)
    m.cuts |= {('a', 'c'), ('c', 'a')}
    m.put('a', 1)
    assert ('put', 1) not in m.done


@when('the part is given to "{replicas}"')
def given_to(context, replicas):
    context.members.grant(*replicas.split(','), epoch=2, to=replicas.split(','))


@then('the change is not returned for within {seconds:d} seconds')
def not_returned(context, seconds):
    m = context.members
    assert not m.pass_time(seconds, lambda: ('put', 1) in m.done), m.done


@when('the disk of "{who}" takes writes again')
def takes_again(context, who):
    m = context.members
    m.stalled.discard(who)
    m.sync(who)
    m.settle()


@then('the change is returned for within {seconds:d} second, and "{names}" hold it on disk')
def returned(context, seconds, names):
    m = context.members
    assert m.pass_time(seconds, lambda: ('put', 1) in m.done) or ('put', 1) in m.done
    assert m.done[('put', 1)] == {'ok': True}
    for n in names.split(','):
        assert 'k1' in m.disks[n], n
