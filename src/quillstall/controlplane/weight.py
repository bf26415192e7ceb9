"""Weight: how a store keeps what it keeps small. A long prompt is mostly shared with other turns, so
its whole blocks are kept once a part, by their digest; rows of turns and once-records are kept packed.
"""

from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import cbor2
from immutables import Map

BLOCK = 4096  # characters


def pack(row: Any) -> bytes:
    """A row as it is kept: `pack({'a': 1})`."""
    return cbor2.dumps(row)


def unpack(row: Any) -> Any:
    """A kept row as it was.

    >>> unpack(pack({'a': 1})), unpack({'a': 1}), unpack(None)
    ({'a': 1}, {'a': 1}, None)
    """
    return cbor2.loads(row) if isinstance(row, bytes) else row


def split(text: str) -> tuple[dict[str, str], list]:
    """The whole blocks of a text by their digest, and what to keep in its place.

    >>> blocks, kept = split('a' * BLOCK * 2 + 'b')
    >>> len(blocks), len(kept[0]), kept[1]
    (1, 2, 'b')
    """
    blocks, names = {}, []
    whole = len(text) // BLOCK * BLOCK
    for at in range(0, whole, BLOCK):
        piece = text[at : at + BLOCK]
        name = blake2b(piece.encode('utf-8', 'surrogatepass'), digest_size=16).hexdigest()
        blocks[name] = piece
        names.append(name)
    return blocks, [names, text[whole:]]


def shrink(prompt: Any) -> tuple[dict[str, str], Any]:
    """A prompt, or a list of messages, with its whole blocks taken out.

    >>> blocks, kept = shrink([{'role': 'user', 'content': 'x' * BLOCK}, {'role': 'user', 'content': 'y'}])
    >>> len(blocks), kept[1]
    (1, {'role': 'user', 'content': [[], 'y']})
    """
    if isinstance(prompt, str):
        return split(prompt)
    blocks: dict[str, str] = {}
    out = []
    for message in prompt:
        more, kept = split(message['content'])
        blocks.update(more)
        out.append({**message, 'content': kept})
    return blocks, out


def grow(kept: Any, block: Callable[[str], str]) -> Any:
    """The prompt again.

    >>> blocks, kept = shrink('a' * BLOCK + 'b'); grow(kept, blocks.get) == 'a' * BLOCK + 'b'
    True
    >>> messages = [{'role': 'user', 'content': 'x' * BLOCK + 'z'}]
    >>> blocks, kept = shrink(messages); grow(kept, blocks.get) == messages
    True
    """
    if kept and isinstance(kept[0], dict):
        return [{**m, 'content': grow(m['content'], block)} for m in kept]
    return ''.join(block(n) for n in kept[0]) + kept[1]


def names_of(kept: Any) -> list[str]:
    """The blocks that a kept prompt needs.

    >>> names_of([['d1'], 'rest']), names_of([{'content': [['d2'], '']}])
    (['d1'], ['d2'])
    """
    if kept and isinstance(kept[0], dict):
        return [n for m in kept for n in m['content'][0]]
    return list(kept[0])


def hold(rows: Map, blocks: dict[str, str], names: list[str], until: float, spare: float) -> tuple:
    """The changes that keep these blocks at least until then. One that must be written is kept `spare`
    seconds longer, so that the turns that share it do not write it again each time.

    >>> changes = hold(Map(), {'d': 'text'}, ['d'], 100.0, 50.0); changes
    (('block/d', ['text', 150.0]),)
    >>> hold(Map(dict(changes)), {}, ['d'], 140.0, 50.0)
    ()
    """
    out = []
    for name in dict.fromkeys(names):
        row = rows.get(f'block/{name}')
        if row is None or row[1] < until:
            text = blocks[name] if name in blocks else row[0]
            out.append((f'block/{name}', [text, until + spare]))
    return tuple(out)
