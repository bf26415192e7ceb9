"""Chart: the results of a scale run as a picture. Needs matplotlib: `pip install 'quillstall[plot]'`."""

from quillstall.testbed.scale import facts

PANELS = (
    ('core_cpu', "core's primary, % of a processor core"),
    ('polls_s', 'polls answered a second'),
    ('node_core_kb_s', "a node's traffic with the core, KB/s"),
    ('everywhere_ms', 'change in force everywhere, ms'),
    ('core_mb', "core's primary, MB"),
    ('core_gone_s', 'core lost until all have heard, s'),
)


def draw(results: list[dict], path: str) -> None:
    """Draw each measure over what was varied, one row a series: `draw(results, 'scale.png')`."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    good = [facts(r) for r in results if 'stopped' not in r and 'core_cpu' in r]
    names = list(dict.fromkeys(r['series'] for r in good))
    figure, axes = pyplot.subplots(
        len(names), len(PANELS), figsize=(3.6 * len(PANELS), 2.6 * len(names)), squeeze=False
    )
    for line, series in zip(axes, names, strict=False):
        for place, (key, title) in zip(line, PANELS, strict=False):
            seen = [(r['x'], r[key]) for r in good if r['series'] == series and r.get(key) is not None]
            place.set_title(title, fontsize=8)
            place.set_xlabel(series, fontsize=8)
            place.tick_params(labelsize=7)
            if seen:
                place.plot(*zip(*seen, strict=False), marker='o')
                place.set_ylim(0, 1.1 * max(y for _, y in seen) or 1)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
