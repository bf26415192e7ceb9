"""Deduplication of the prompts that a store retains, and the packing of its rows.

Most of a long prompt is shared with other turns, so each whole block of it is stored once in a partition, under its
digest. The rows of turns and keyed operations are stored as CBOR.
"""

from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import cbor2
from immutables import Map

BLOCK_CHARS = 4096


def pack(row: Any) -> bytes:
    """Return a row as it is stored: `pack({'a': 1})`."""
    return cbor2.dumps(row)


def unpack(row: Any) -> Any:
    """Return a stored row decoded. One that is not packed, or None, is returned unchanged.

    >>> unpack(pack({'a': 1})), unpack({'a': 1}), unpack(None)
    ({'a': 1}, {'a': 1}, None)
    """
    return cbor2.loads(row) if isinstance(row, bytes) else row


def split_blocks(text: str) -> tuple[dict[str, str], list]:
    """Return the whole blocks of a text by digest, and the reference that stands for the text.

    The reference holds the blocks' digests in order and the rest of the text.

    >>> blocks, reference = split_blocks('a' * BLOCK_CHARS * 2 + 'b')
    >>> len(blocks), len(reference[0]), reference[1]
    (1, 2, 'b')
    """
    blocks, digests = {}, []
    blocks_end = len(text) // BLOCK_CHARS * BLOCK_CHARS
    for start in range(0, blocks_end, BLOCK_CHARS):
        block = text[start : start + BLOCK_CHARS]
        digest = blake2b(block.encode('utf-8', 'surrogatepass'), digest_size=16).hexdigest()
        blocks[digest] = block
        digests.append(digest)
    return blocks, [digests, text[blocks_end:]]


def extract_blocks(prompt: Any) -> tuple[dict[str, str], Any]:
    """Return the whole blocks of a prompt or a list of messages by digest, and the prompt with references.

    >>> blocks, stored = extract_blocks(
    ...     [{'role': 'user', 'content': 'x' * BLOCK_CHARS}, {'role': 'user', 'content': 'y'}])
    >>> len(blocks), stored[1]
    (1, {'role': 'user', 'content': [[], 'y']})
    """
    if isinstance(prompt, str):
        return split_blocks(prompt)
    blocks: dict[str, str] = {}
    messages = []
    for message in prompt:
        new_blocks, reference = split_blocks(message['content'])
        blocks.update(new_blocks)
        messages.append({**message, 'content': reference})
    return blocks, messages


def restore(stored: Any, block: Callable[[str], str]) -> Any:
    """Return the original prompt; `block` returns the text of a digest.

    >>> blocks, stored = extract_blocks('a' * BLOCK_CHARS + 'b')
    >>> restore(stored, blocks.get) == 'a' * BLOCK_CHARS + 'b'
    True
    >>> messages = [{'role': 'user', 'content': 'x' * BLOCK_CHARS + 'z'}]
    >>> blocks, stored = extract_blocks(messages); restore(stored, blocks.get) == messages
    True
    """
    if stored and isinstance(stored[0], dict):
        return [{**m, 'content': restore(m['content'], block)} for m in stored]
    return ''.join(block(digest) for digest in stored[0]) + stored[1]


def block_digests(stored: Any) -> list[str]:
    """Return the digests of the blocks that a stored prompt refers to.

    >>> block_digests([['d1'], 'rest']), block_digests([{'content': [['d2'], '']}])
    (['d1'], ['d2'])
    """
    if stored and isinstance(stored[0], dict):
        return [digest for m in stored for digest in m['content'][0]]
    return list(stored[0])


def retain_blocks(
    rows: Map, blocks: dict[str, str], digests: list[str], until: float, margin: float
) -> tuple:
    """Return the changes of rows that retain these blocks until then at least.

    A block that must be written is retained `margin` seconds longer, so that not every later turn that shares
    it has to write it again.

    >>> changes = retain_blocks(Map(), {'d': 'text'}, ['d'], 100.0, 50.0); changes
    (('block/d', ['text', 150.0]),)
    >>> retain_blocks(Map(dict(changes)), {}, ['d'], 140.0, 50.0)
    ()
    """
    changes = []
    for digest in dict.fromkeys(digests):
        row = rows.get(f'block/{digest}')
        if row is None or row[1] < until:
            text = blocks[digest] if digest in blocks else row[0]
            changes.append((f'block/{digest}', [text, until + margin]))
    return tuple(changes)
