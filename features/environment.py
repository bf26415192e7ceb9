"""What every scenario begins with."""

import logging

import logbook

from quillstall.runtime.journal import Journal


def before_all(context):
    context.quiet = logbook.NullHandler()
    context.quiet.push_application()
    logging.getLogger('tornado').setLevel(logging.CRITICAL)
    watch_invariants(context)


def watch_invariants(context):
    """Keep every violation of an invariant in this process; a scenario that brings none about on purpose fails by it."""
    context.violations = []
    count = Journal.violated

    def violated(journal, name, **facts):
        context.violations.append((journal.name, name, facts))
        count(journal, name, **facts)

    Journal.violated = violated


def before_scenario(context, scenario):
    context.violations.clear()
    context.meant_violations = ()


def after_scenario(context, scenario):
    fleet = getattr(context, 'fleet', None)
    if fleet is not None:
        fleet.close()
    unmeant = [v for v in context.violations if v[1] not in context.meant_violations]
    assert not unmeant, f'{len(unmeant)} violations of invariants, first {unmeant[:3]}'


def after_all(context):
    small = context.config.userdata.get('small')
    if small is not None:
        small.close()
