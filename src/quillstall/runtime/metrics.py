"""The counters and gauges of a process in the text exposition format of Prometheus."""

from collections.abc import Mapping

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
EVENTS_METRIC = 'quillstall_events_total'
GAUGE_METRIC = 'quillstall_gauge'


def exposition(counts: Mapping[str, float], gauges: Mapping[str, float]) -> bytes:
    """Return all counters as one metric and all gauges as another, each with its own name as a label.

    >>> print(exposition({'told.shed': 3}, {'pending': 1.5}).decode(), end='')
    # TYPE quillstall_events_total counter
    quillstall_events_total{event="told.shed"} 3
    # TYPE quillstall_gauge gauge
    quillstall_gauge{of="pending"} 1.5
    """
    lines = [f'# TYPE {EVENTS_METRIC} counter']
    lines += [
        f'{EVENTS_METRIC}{{event="{escape_label_value(name)}"}} {number:g}'
        for name, number in sorted(counts.items())
    ]
    lines.append(f'# TYPE {GAUGE_METRIC} gauge')
    lines += [
        f'{GAUGE_METRIC}{{of="{escape_label_value(name)}"}} {number:g}'
        for name, number in sorted(gauges.items())
    ]
    return ('\n'.join(lines) + '\n').encode()


def escape_label_value(text: str) -> str:
    """Escape a text for use as the value of a label.

    >>> escape_label_value('a"b')
    'a\\\\"b'
    """
    return text.replace('\\', '\\\\').replace('"', '\\"').replace('\n', '\\n')
