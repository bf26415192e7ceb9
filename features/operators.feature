Feature: Operators' changes are applied once, acknowledged again when retried, and never refused from stale state

  # ---- the checker of call histories

  Scenario Outline: a history of compare-and-set calls is checked: <history>
    Given the history "<history>"
    Then it is found <verdict>

    Examples:
      | history                                     | verdict          |
      | changes and reads one after another         | linearizable     |
      | a change of unknown outcome is seen later   | linearizable     |
      | a change of unknown outcome is never seen   | linearizable     |
      | a read concurrent with a change is stale    | linearizable     |
      | a conflict concurrent with the winner       | linearizable     |
      | of two unknown outcomes the later is seen   | linearizable     |
      | an invalid change is refused                | linearizable     |
      | two changes on one base are acknowledged    | not linearizable |
      | a refused change is seen                    | not linearizable |
      | a read after a change is stale              | not linearizable |
      | a later read returns an older version       | not linearizable |
      | an acknowledged change is lost              | not linearizable |
      | a conflict on the current version           | not linearizable |
      | a change is seen before it is sent          | not linearizable |
      | a change of unknown outcome vanishes again  | not linearizable |

  Scenario: a history of 3,000 calls with unknown outcomes is checked, and a single stale read in it is found
    Given a history of 3000 calls, every fifth of unknown outcome
    Then it is found linearizable
    And with one stale read in it, it is found not linearizable

  Scenario: a history that would take too long to check is undecided, not passed
    Given a history of 40 changes of unknown outcome without a base, and a read of a version that none wrote
    Then within 500 steps it is found undecided, which counts as a finding

  # ---- the record of applied changes

  Scenario: after 3,000 changes every one of them gets its first answer again
    Given a table that has applied 3000 changes
    Then each of them sent again gets its first answer and changes nothing
    And a change that was never applied is refused as a conflict
    And the last change wrote as many bytes as the 10th, give or take 20

  Scenario: a change that the record has dropped gets an unknown outcome, never a refusal
    Given a table that has applied 5000 changes
    Then it keeps at most 4352 records
    And each of them sent again gets its first answer or an unknown outcome, and changes nothing
    And a change that was never applied is refused as a conflict

  Scenario: a table with the former format of the record is supported
    Given a table that has applied 200 changes in the former format of the record
    Then each of them sent again gets its first answer and changes nothing
    And one that the former format had dropped gets an unknown outcome
    And after one more change the former format is gone and each still gets its first answer

  Scenario: the first change is acknowledged again after 260 more, a restart and a lost disk
    Given the platform's operator interface of a simulated core
    When 260 changes follow the first, every core is killed, and later the primary loses its disk
    Then the first and the tenth sent again are acknowledged at every core after each of these
    And the last configuration stays in force

  # ---- an isolated core

  Scenario Outline: an isolated core gives no definite answer, and fails fast: <direction>
    Given the platform's operator interface of a simulated core
    When the core's primary is isolated for 20 seconds, <direction>, and every operator request is sent to every core
    Then every request got an answer or an unknown outcome within 0.8 seconds
    And the isolated core answered none from its last known state
    And the whole history is linearizable

    Examples:
      | direction          |
      | in both directions |
      | outbound only      |
      | inbound only       |

  Scenario: a primary that has just taken over does not refuse to retire a store
    Given the platform's operator interface of a simulated core
    When the core's primary is killed, and the retirement of a store is requested throughout
    Then the retirement was never refused

  Scenario: a change that takes long is acknowledged when retried
    Given the platform's operator interface of a simulated core
    When a routing node freezes, and a change is retried until it has a definite answer
    Then it was acknowledged within 4 seconds, with no attempt longer than 0.8 seconds

  # ---- reads concurrent with uncommitted changes

  Scenario Outline: <reader> sees nothing of a change that is not committed yet
    Given a primary core whose backup confirms one batch at a time
    When <reader> sends a read, a change follows it, and the backup confirms the first batch only
    Then the answer contains nothing of the change
    And once the backup has confirmed the second batch, another answer contains it

    Examples:
      | reader         |
      | an operator    |
      | a routing node |

  Scenario: a silent process is sent a hello with the committed lease quorum, not with an uncommitted one
    Given a primary core whose backup confirms one batch at a time
    When a routing node sends a poll, an update of the register follows it, and the backup confirms the first batch only
    Then a hello names no register of stores
    And once the backup has confirmed the second batch, a hello after another poll names it

  # ---- concurrent changes, and primaries that fail

  Scenario Outline: eight concurrent changes while primaries fail and recover, seed <seed>
    Given the platform's operator interface of a simulated core
    When operators send 8 changes at a time while the primary <fault>, seed <seed>
    Then the whole history is linearizable
    And at least 10 changes were acknowledged

    Examples:
      | fault                                | seed |
      | is killed between write and answer   | 1    |
      | is killed between write and answer   | 2    |
      | is killed between write and answer   | 3    |
      | is isolated                          | 4    |
      | is isolated                          | 5    |
      | freezes                              | 6    |
      | freezes                              | 7    |

  Scenario: one revision with two bodies at two cores at once
    Given the platform's operator interface of a simulated core
    When 20 times two operators send one revision with different bodies at two cores at once, and retry both
    Then each time one is acknowledged at both attempts, and the other is refused at both

  Scenario: a patch is retried after later changes
    Given the platform's operator interface of a simulated core
    When a patch whose answer is lost is retried after two more changes
    Then it is acknowledged, and a patch that was never applied is refused

  Scenario: the check can fail: a core that does not record applied changes
    Given the platform's operator interface of a simulated core
    And a core that records no requests
    When operators send 8 changes at a time while the primary is killed between write and answer, seed 1
    Then the whole history is not linearizable
