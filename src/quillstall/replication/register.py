"""Register: the newest generation of the policy as the stores keep it, so that the fleet serves on
while no core can be reached.

Each registered store has on its disk a word: the newest generation, whole, and the register it
belongs to. A routing node that the core does not answer asks the registered stores; a majority's
answers renew its lease, and the newest word among them is what it takes. The core acknowledges a
generation only when a majority has it and each lease given under an older one is over. While the
register changes, majorities of the old and of the new one are needed.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any, NamedTuple

LEASE = timedelta(milliseconds=2500)  # unless settings say less; counted from when its holder asked for it
GRANTED_PART = 1.02  # what its giver reckons with: clocks may drift apart by a hundredth
ANY_NODE = '*'  # stands for whichever routing nodes a store may have renewed before its last start
NEVER = {'number': 0, 'now': {}, 'old': {}}


class Word(NamedTuple):
    """What one store knows: a generation, whole, and the register, by its number.

    >>> Word().rank
    (0, 0)
    """

    generation: int = 0
    number: int = 0
    epoch: int = 0
    policy: dict | None = None
    leaving: tuple = ()
    now: dict = {}  # the registered stores: name -> address
    old: dict = {}  # those before, while both count
    live: int = 1  # how many routing nodes there were

    @property
    def rank(self) -> tuple[int, int]:
        return self.generation, self.number


def read(row: Any) -> Word:
    """A word as it came from the disk or the wire.

    >>> read(list(Word(3, 1))) == Word(3, 1), read(None) == Word()
    (True, True)
    """
    if not row:
        return Word()
    word = Word(*row)
    return word._replace(leaving=tuple(word.leaving))


def most(names: Iterable[str], now: dict, old: dict) -> bool:
    """Whether these stores are a majority of each register that counts.

    >>> now, old = {'a': '', 'b': '', 'd': ''}, {'a': '', 'b': '', 'c': ''}
    >>> most(['a', 'b'], now, old), most(['a', 'd'], now, old), most([], {}, {})
    (True, False, True)
    """
    have = set(names)
    return all(len(have & set(each)) * 2 > len(each) for each in (now, old) if each)


def covers(names: Iterable[str], now: dict, old: dict) -> bool:
    """Whether every majority of each register that counts has one of these stores in it: what they all
    know is found by whoever asks a majority. With an odd number of stores that is a majority; with an
    even number half is enough, so that of two stores one may be lost.

    >>> three, two = {'a': '', 'b': '', 'c': ''}, {'a': '', 'b': ''}
    >>> covers(['a'], three, {}), covers(['a', 'b'], three, {}), covers(['a'], two, {}), covers([], two, {})
    (False, True, True, False)
    """
    have = set(names)
    return all(len(set(each) - have) * 2 <= len(each) for each in (now, old) if each)


def taken(word: Word, ret: dict) -> Word:
    """The word with the core's news laid over it; never an older one.

    >>> w = taken(Word(2, 1), {'generation': 3, 'epoch': 1, 'policy': {}, 'leaving': []}); w.rank
    (3, 1)
    >>> taken(w, {'generation': 2, 'epoch': 1, 'policy': {'x': 1}, 'leaving': []}) == w
    True
    """
    if ret['epoch'] < word.epoch:
        return word
    if 'policy' in ret and ret['generation'] > word.generation:
        word = word._replace(
            generation=ret['generation'],
            policy=ret['policy'],
            leaving=tuple(ret['leaving']),
            epoch=ret['epoch'],
        )
    book = ret.get('register')
    if book and book['number'] > word.number:
        word = word._replace(number=book['number'], now=book['now'], old=book['old'], epoch=ret['epoch'])
    return word


def agreed(known: dict, words: dict[str, Word]) -> tuple[dict, Word | None]:
    """From the words of the stores that answered: the register to go by, and the newest word if a
    majority of that register has answered, else None. `known` is the register the asker had.

    >>> known = {'number': 1, 'now': {'a': '', 'b': '', 'c': ''}, 'old': {}}
    >>> old, new = Word(4, 1, now=known['now']), Word(5, 1, now=known['now'])
    >>> agreed(known, {'a': old})[1], agreed(known, {'a': old, 'b': new})[1].generation
    (None, 5)
    >>> ahead = Word(5, 2, now={'a': '', 'd': '', 'e': ''}, old=known['now'])
    >>> agreed(known, {'a': ahead, 'b': old})[1] is None
    True
    """
    words = {n: w for n, w in words.items() if w.number}
    for word in words.values():
        if word.number > known['number']:
            known = {'number': word.number, 'now': word.now, 'old': word.old}
    if not known['now'] or not most(words, known['now'], known['old']):
        return known, None
    return known, max(words.values(), key=lambda w: w.rank)
