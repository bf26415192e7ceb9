"""The life of a control-plane process, core or store, from its context to its end."""

import asyncio
from typing import Any
from uuid import UUID

from quillstall.controlplane import core, core_state, founding, store
from quillstall.controlplane.admin_api import AdminApi
from quillstall.controlplane.table_limit import TableLimit
from quillstall.network.httpserver import Listener
from quillstall.network.listing import Listing
from quillstall.runtime import first_start
from quillstall.runtime.clock import from_ms
from quillstall.runtime.disk import CorruptFile, Put
from quillstall.runtime.errors import Fault
from quillstall.runtime.process import Context, ReducerRunner, blocked_after_s

HANDOVER_TIMEOUT = from_ms(1700)  # the longest that a stop signal waits for other cores to take over
HANDOVER_POLL_INTERVAL = from_ms(100)
LISTING_INTERVAL = from_ms(700)  # between two polls of the list of replicas, which only the primary makes
ROLE_MODULES: dict[str, Any] = {'core': core, 'store': store}


async def run(ctx: Context, ready: Any = None) -> None:
    """Serve until the task is cancelled; raise if the database file is found corrupt.

    The future `ready` gets the host as its result once the process serves.
    """
    try:
        await serve(ctx, ready)
    finally:
        await ctx.net.close()
        await ctx.disk.close()


async def serve(ctx: Context, ready: Any) -> None:
    """Open the data folder, listen, and serve until the task is cancelled or the program fails."""
    rows = await open_disk(ctx)
    identity = rows.get('', {})
    role = ctx.startup['role']
    if identity.get('role') not in (None, role):
        raise Fault('disk', f"the data folder is a {identity['role']}'s, this is a {role}")
    name = identity.get('id') or f'{ctx.startup["name"]}-{UUID(int=ctx.rng.getrandbits(128)).hex[:6]}'
    start_count = identity.get('starts', 0) + 1
    startup = ctx.startup
    if ctx.disk.was_set_aside():
        startup = {**startup, 'founding': False, 'recorded_seeds': None}
    new_rows = [Put('', 'id', name), Put('', 'role', role), Put('', 'starts', start_count)]
    if not identity:
        new_rows += founding.first_start_rows(startup)
    await ctx.disk.write(tuple(new_rows))
    if ctx.startup.get('recorded_seeds'):
        first_start.remove(ctx.startup['data'])
    for row in new_rows:
        rows.setdefault(row.part, {})[row.key] = row.value
    reducer = ROLE_MODULES[role]
    state = reducer.load(name, startup, rows, start_count * 1_000_000, ctx.clock.now())
    ctx.journal.note('start', role=role, id=name, count=start_count, empty='id' not in identity)
    host = ReducerRunner(ctx, state, reducer.step, reducer.where)
    handle = TableLimit(ctx, host.handle).handle if role == 'store' else host.handle
    await ctx.net.serve(ctx.startup.get('listen') or ctx.startup['address'], handle)
    if ctx.startup.get('http'):
        await ctx.web.serve(ctx.startup['http'], AdminApi(ctx, host).serve)
    control = None
    try:
        if ctx.admin_api and ctx.startup.get('control'):
            control = Listener(ctx.admin_api(ctx, host).serve, ctx.journal.count, budgets=ctx.budgets)
            await control.listen(ctx.startup['control'])
        if ctx.lister and role == 'core':
            host.spawn(poll_listing(ctx, host))
        if ready:
            ready.set_result(host)
        await host.run()
    finally:
        if control:
            await control.close()
        if ctx.startup.get('http'):
            await ctx.web.close()


async def open_disk(ctx: Context) -> dict[str, dict[str, Any]]:
    """Return all rows of the data folder.

    A file that is torn or corrupt is set aside, and the process comes back as a new member with an empty folder,
    which the others handle like any lost disk. It must not found a fleet then: it belonged to one. Nothing of the
    file is used, since it may hold less than this member confirmed, and a member that votes or leads with less
    breaks its promises; an empty member has a new name and cannot speak for the old one.
    """
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
    """On a stop signal, wait up to HANDOVER_TIMEOUT for other cores to take over what this core holds.

    A store holds nothing that could be handed over without copying: it just ends, and its partitions go on when it
    is back or replaced.
    """
    if host.ctx.startup['role'] != 'core':
        return
    clock, admin_api = host.ctx.clock, AdminApi(host.ctx, host)
    deadline = clock.now() + HANDOVER_TIMEOUT
    while clock.now() < deadline:
        try:
            call = admin_api.call_primary({'k': 'hand_over', 'name': host.state.me})
            reply = await asyncio.wait_for(call, (deadline - clock.now()).total_seconds())
        except (Fault, TimeoutError):  # there is no primary now
            await clock.sleep(HANDOVER_POLL_INTERVAL)
            continue
        if not reply['wait']:
            break
        await clock.sleep(HANDOVER_POLL_INTERVAL)


async def poll_listing(ctx: Context, host: ReducerRunner) -> None:
    """While this core is the primary, poll the list of replicas on behalf of all nodes."""
    while True:
        if core_state.is_primary(host.state):
            try:
                host.queue.put_nowait(Listing(await ctx.lister.poll()))
            except Fault as e:
                ctx.journal.count(f'list.{e.code}')
        await ctx.clock.sleep(LISTING_INTERVAL)
