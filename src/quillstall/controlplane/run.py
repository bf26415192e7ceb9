"""Run: a control-plane process, core or store, from its context to its end."""

import asyncio
from typing import Any
from uuid import UUID

from quillstall.controlplane import core, core_state, store
from quillstall.controlplane.desk import Desk
from quillstall.network.httpserver import Listener
from quillstall.network.listing import Listing
from quillstall.runtime.clock import from_ms
from quillstall.runtime.disk import CorruptFile, Put
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context, ReducerRunner, blocked_after_s

HAND_OVER = from_ms(1700)  # the longest that a stop signal waits for others to take over
HAND_OVER_PAUSE = from_ms(100)
LOOK_EVERY = from_ms(700)  # how often the list of replicas is asked for, by the primary alone
ROLES: dict[str, Any] = {'core': core, 'store': store}


async def run(ctx: Context, ready: Any = None) -> None:
    """Serve until the disk's file is found corrupt or the task is cancelled: `await run(ctx)`."""
    rows = await open_disk(ctx)
    own = rows.get('', {})
    role = ctx.startup['role']
    if own.get('role') not in (None, role):
        raise Fault('disk', f"the data folder is a {own['role']}'s, this is a {role}")
    name = own.get('id') or f'{ctx.startup["name"]}-{UUID(int=ctx.rng.getrandbits(128)).hex[:6]}'
    count = own.get('starts', 0) + 1
    await ctx.disk.write((Put('', 'id', name), Put('', 'role', role), Put('', 'starts', count)))
    part = ROLES[role]
    startup = {**ctx.startup, 'founding': False} if ctx.disk.was_set_aside() else ctx.startup
    state = part.load(name, startup, rows, count * 1_000_000, ctx.clock.now())
    ctx.journal.note('start', role=role, id=name, count=count, empty='id' not in own)
    host = ReducerRunner(ctx, state, part.step, part.where)
    await ctx.net.serve(ctx.startup.get('listen') or ctx.startup['address'], host.handle)
    if ctx.startup.get('http'):
        await ctx.web.serve(ctx.startup['http'], Desk(ctx, host).serve)
    control = None
    if ctx.admin_api and ctx.startup.get('control'):
        control = Listener(ctx.admin_api(ctx, host).serve, ctx.journal.count)
        control.listen(ctx.startup['control'])
    if ctx.lister and role == 'core':
        host.spawn(look(ctx, host))
    if ready:
        ready.set_result(host)
    try:
        await host.run()
    finally:
        if control:
            await control.close()
        await ctx.net.close()
        await ctx.disk.close()


async def open_disk(ctx: Context) -> dict[str, dict[str, Any]]:
    """All rows of the data folder: `rows = await open_disk(ctx)`.

    A file that is torn or corrupt is set aside, and the process comes back as a new member with an empty
    folder, which the others bear like any lost disk. It may then never found a fleet: it had one. Nothing
    of the file is used, since it may hold less than this member confirmed, and a member that votes or leads
    with less breaks promises; an empty one has a new name and cannot answer for the old."""
    opening = asyncio.ensure_future(ctx.disk.open())
    done, _ = await asyncio.wait((opening,), timeout=blocked_after_s(ctx.startup))
    if not done:
        ctx.journal.note('disk_blocked', cause='the data folder cannot be opened yet')
    try:
        return await opening
    except CorruptFile as e:
        ctx.journal.note('disk_set_aside', cause=e.text)
    await ctx.disk.set_aside()
    return await ctx.disk.open()


async def hand_over(host: ReducerRunner) -> None:
    """On a stop signal, let other cores take over what this one holds; wait for it a little, not longer:
    `await hand_over(host)`. A store holds nothing that could be handed over without copying: it just ends,
    and its partitions go on when it is back or replaced."""
    if host.ctx.startup['role'] != 'core':
        return
    clock, desk = host.ctx.clock, Desk(host.ctx, host)
    end = clock.now() + HAND_OVER
    while clock.now() < end:
        try:
            ask = desk.primary({'k': 'hand_over', 'name': host.state.me})
            ret = await asyncio.wait_for(ask, (end - clock.now()).total_seconds())
        except (Fault, TimeoutError):  # no primary now: try again while there is time
            await clock.sleep(HAND_OVER_PAUSE)
            continue
        if not ret['wait']:
            break
        await clock.sleep(HAND_OVER_PAUSE)


async def look(ctx: Context, host: ReducerRunner) -> None:
    """While this core is the primary, ask for the list of replicas, for all nodes: `await look(ctx, host)`."""
    while True:
        if core_state.is_primary(host.state):
            try:
                host.queue.put_nowait(Listing(await ctx.lister.poll()))
            except Fault as e:
                ctx.journal.count(f'list.{e.code}')
        await ctx.clock.sleep(LOOK_EVERY)
