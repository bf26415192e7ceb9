"""Steps over the state machine of replicated partitions: its members, their messages and their disks."""

from datetime import UTC, datetime, timedelta

from behave import given, then, when

from quillstall.replication import group
from quillstall.replication.copies import Grant, Op, ReplicaSet, StartReconfiguration
from quillstall.runtime.effect import Ask, Done, Heard, Propose, Return, Tick, Told, Write, Wrote

PARTITION = 'p'
TRANSFERS = ('pull', 'refill')
TICK = timedelta(milliseconds=100)
ROW_BYTES = 4000  # 300 such rows need more than one message of a transfer


def apply(partition, rows, command, now):
    """Read or write one row of a plain table."""
    if command['op'] == 'read':
        return (), {'ok': True, 'value': rows.get(command['key'])}
    return ((command['key'], command['value']),), {'ok': True}


class Members:
    """The members of one partition, on a clock that the steps advance."""

    def __init__(self, names):
        self.now = datetime(2026, 1, 1, tzinfo=UTC)
        self.states = {n: group.State(n) for n in names}
        self.disks = {n: {} for n in names}
        self.unsynced = {n: [] for n in names}  # writes that are not synced yet
        self.stalled = set()
        self.cuts = set()  # (from, to): messages are lost
        self.delayed = set()  # (from, to): messages wait in `waiting`
        self.waiting = []
        self.events = []
        self.calls = 0
        self.pending_calls = {}
        self.replies = {}
        self.proposed = []
        self.transfers_left = None  # how many transfer messages still arrive; None: all
        self.starts = 1

    def feed(self, name, event):
        """Give one member an event, and perform everything that follows from it."""
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
            self.deliver(name, effect)
        elif kind is Return:
            sender, request = self.pending_calls.pop(effect.call, (None, None))
            if sender and (name, sender) not in self.cuts:
                self.events.append((sender, Heard(request.tag, effect.reply)))
        elif kind is Done:
            self.replies[effect.tag] = effect.reply
        elif kind is Propose:
            self.proposed.append(effect.replica_set)

    def deliver(self, name, request):
        if (name, request.to) in self.delayed:
            self.waiting.append((name, request))
        elif (name, request.to) in self.cuts or self.is_interrupted(request):
            self.events.append((name, Heard(request.tag, None)))
        else:
            self.calls += 1
            self.pending_calls[self.calls] = (name, request)
            self.events.append((request.to, Told(self.calls, request.message)))

    def is_interrupted(self, request):
        """Return whether this is a message of a transfer that the steps interrupt here."""
        if self.transfers_left is None or request.message['k'] not in TRANSFERS:
            return False
        self.transfers_left -= 1
        return self.transfers_left < 0

    def release(self, name, to):
        """Deliver the delayed messages from one member to another."""
        self.delayed.discard((name, to))
        waiting, self.waiting = self.waiting, []
        for origin, request in waiting:
            if (origin, request.to) == (name, to):
                self.deliver(origin, request)
            else:
                self.waiting.append((origin, request))
        self.settle()

    def sync(self, name):
        """Write all that is unsynced, in order, unless the disk is stalled."""
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
        """Advance the clock, with ticks; return whether `until` became true."""
        for _ in range(int(seconds * 10)):
            self.now += TICK
            for name in self.states:
                self.feed(name, Tick())
            if until and until():
                return True
        return False

    def grant(self, *members, epoch=1, to=None):
        for name in to or self.states:
            self.feed(name, Grant(PARTITION, ReplicaSet(epoch, epoch - 1, *members)))

    def restart(self, name):
        """Start a member again from its disk. Unsynced writes and unanswered messages to it are lost."""
        self.unsynced[name] = []
        self.stalled.discard(name)
        self.starts += 1
        rows = {PARTITION: dict(self.disks[name])} if self.disks[name] else {}
        self.states[name] = group.load(name, rows, self.starts * 1_000_000)
        lost = [call for call, (_, request) in self.pending_calls.items() if request.to == name]
        for call in lost:
            sender, request = self.pending_calls.pop(call)
            self.feed(sender, Heard(request.tag, None))

    def copy(self, name):
        return self.states[name].partitions[PARTITION]

    def serves(self, name):
        """Return whether a member answers a read now."""
        tag = ('probe', name, self.now)
        self.feed(name, Op(PARTITION, tag, {'op': 'read', 'key': 'k1'}))
        return self.replies.get(tag, {}).get('ok', False)

    def put(self, name, count, first=1, tag='put', size=ROW_BYTES):
        for n in range(first, first + count):
            self.feed(
                name,
                Op(PARTITION, (tag, n), {'op': 'put', 'key': f'k{n}', 'value': f'{n}' + 'x' * size}),
            )


@given('members "{names}" of a partition with the replica set "{replicas}"')
def given_members(context, names, replicas):
    members = context.members = Members(names.split(','))
    members.grant(*replicas.split(','), to=replicas.split(','))
    assert members.serves('a')


@when('{count:d} changes are sent in one batch that "a" does not sync and "c" does not receive')
def one_batch(context, count):
    members = context.members
    members.delayed = {('a', 'b'), ('a', 'c')}
    members.put('a', 1 + count)  # the first is a batch of its own; the others wait for it and form the next
    members.release('a', 'c')
    members.cuts.add(('a', 'c'))
    members.stalled.add('a')
    members.release('a', 'b')
    assert members.copy('b').seq == 1 + count and members.copy('c').seq == 1, (
        members.copy('b').seq,
        members.copy('c').seq,
    )
    assert members.copy('a').batch and ('put', 2) not in members.replies


@when('{count:d} changes of {size:d} kilobytes each are made one after another')
def large_changes(context, count, size):
    context.members.put('a', count, size=size * 1000)
    assert ('put', count) in context.members.replies


@then('no member keeps more than {limit:d} of them besides its rows')
def bounded_log(context, limit):
    kept = {name: len(context.members.copy(name).log) for name in context.members.states}
    assert all(1 <= count <= limit for count in kept.values()), kept


@when('"{name}" loses its power and starts again')
def loses_power(context, name):
    context.members.restart(name)
    context.members.cuts.clear()


@when('a change does not reach "b", and "a" meanwhile reconfigures the partition to "{replicas}"')
def reconfigured(context, replicas):
    members = context.members
    members.put('a', 300)
    members.cuts |= {('a', 'b'), ('b', 'a')}
    members.put('a', 1, first=301)
    members.feed('a', StartReconfiguration(PARTITION, 'd', ReplicaSet(2, 1, *replicas.split(','))))
    assert members.pass_time(3, lambda: members.proposed), members.copy('a').reconfiguration
    assert members.copy('d').seq == 301 and members.copy('b').seq == 300, (
        members.copy('d').seq,
        members.copy('b').seq,
    )
    assert not members.copy('d').log
    context.epoch_two = replicas.split(',')


@when(
    '{count:d} changes are made, the disk of "b" loses the last {lost:d} of them, and one more is not confirmed yet'
)
def disk_goes_back(context, count, lost):
    members = context.members
    members.put('a', count - lost)
    earlier = dict(members.disks['b'])
    members.put('a', lost, first=count - lost + 1)
    members.cuts.add(('a', 'b'))
    members.put('a', 1, first=count + 1)
    members.disks['b'] = earlier
    members.restart('b')
    assert members.copy('b').seq == count - lost and members.copy('a').batch


@when('"{who}" loses its power in the middle of the transfer')
def interrupted(context, who):
    members = context.members
    members.cuts.clear()
    members.transfers_left = 2
    members.grant(*context.epoch_two, epoch=2)
    members.pass_time(0.3)
    assert members.transfers_left <= 0, 'nothing was transferred'
    members.restart(who)
    members.transfers_left = None


@then('"{name}" serves within {seconds:d} seconds and "{names}" hold the same {count:d} changes')
def hold_the_same(context, name, seconds, names, count):
    members = context.members
    members.cuts.clear()
    if 'epoch_two' in context:
        members.grant(*context.epoch_two, epoch=2)
    assert members.pass_time(seconds, lambda: members.serves(name)), [
        (n, members.copy(n).seq, members.copy(n).ready) for n in names.split(',')
    ]
    for n in names.split(','):
        copy = members.copy(n)
        assert copy.seq == count and len(copy.rows) == count, (n, copy.seq, len(copy.rows))
        on_disk = {k: v for k, v in members.disks[n].items() if not k.startswith('#')}
        assert on_disk == dict(copy.rows), n
        assert members.disks[n]['#mark'][1] == count, n


@when('a change is made that "{who}" does not sync and "c" does not receive')
def unconfirmed(context, who):
    members = context.members
    members.stalled.add(who)
    members.cuts |= {('a', 'c'), ('c', 'a')}
    members.put('a', 1)
    assert ('put', 1) not in members.replies


@when('the partition is granted to "{replicas}"')
def granted_to(context, replicas):
    context.members.grant(*replicas.split(','), epoch=2, to=replicas.split(','))


@then('the change is not answered within {seconds:d} seconds')
def not_answered(context, seconds):
    members = context.members
    assert not members.pass_time(seconds, lambda: ('put', 1) in members.replies), members.replies


@when('the disk of "{who}" takes writes again')
def disk_resumes(context, who):
    members = context.members
    members.stalled.discard(who)
    members.sync(who)
    members.settle()


@then('the change is answered within {seconds:d} second, and "{names}" hold it on disk')
def answered(context, seconds, names):
    members = context.members
    assert members.pass_time(seconds, lambda: ('put', 1) in members.replies) or ('put', 1) in members.replies
    assert members.replies[('put', 1)] == {'ok': True}
    for n in names.split(','):
        assert 'k1' in members.disks[n], n
