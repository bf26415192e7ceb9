Feature: A turn that was answered whole can be continued at every node, with all that was said before it

  # Guards against 404 for a turn answered seconds ago, since an older turn of its chain had been deleted meanwhile.
  Scenario Outline: older turns of a chain are deleted, <when>
    Given 2 nodes and the replicas "a"
    And the turns "t1" and "t2" of a program were run at node 1
    When the turn "t3" that continues them is run at node 1, and the turns before it are deleted: <when>
    Then "t3" is answered whole, and its replica got the whole conversation
    And "t3" can be continued at node 2 with the whole conversation, and that at node 1

    Examples:
      | when                                                   |
      | before it is sent                                      |
      | while it runs                                          |
      | while it runs, and its reservation expires as well     |
      | while it runs, and the store's reply to its end is lost |
      | while it runs, and its partition moves                 |
      | while it runs, for another program                     |

  # Guards against any other order of turns, expiry and sweeps that leaves an acknowledged turn without its chain.
  Scenario Outline: turns, expiry and sweeps in a random order, seed <seed>
    Given 3 nodes and the replicas "a b"
    When 60 random steps are taken with seed <seed>: turns begin, end and continue others, time passes, stores sweep
    Then no turn that was answered whole within its retention was refused, and each replica got the whole conversation
    And turns were continued after their predecessors had been deleted

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a history that is cut without a word, as older turns were deleted while a turn ran.
  Scenario: a conversation of the JSON interface does not expire while a turn continues it
    Given a store with a conversation of 2 turns that expires in 1 second
    When a turn with 600 seconds left continues it, and ends after 590 seconds and several sweeps
    Then the next turn gets the history of 3 turns

  Scenario: a history with a gap is refused, not shortened
    Given a store with a conversation of 2 turns that expires in 1 second
    When the row of its first turn is lost
    Then a turn that continues it is refused as "turn_unknown"
