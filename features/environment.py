"""What every scenario begins with."""

import logging

import logbook


def before_all(context):
    context.quiet = logbook.NullHandler()
    context.quiet.push_application()
    logging.getLogger('tornado').setLevel(logging.CRITICAL)


def after_scenario(context, scenario):
    fleet = getattr(context, 'fleet', None)
    if fleet is not None:
        fleet.close()


def after_all(context):
    small = context.config.userdata.get('small')
    if small is not None:
        small.close()
