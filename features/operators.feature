Feature: Operators' orders are taken once, acknowledged again when repeated, and never refused from old state

  # ---- the judge of whole histories

  Scenario Outline: a history of compare-and-set calls is judged: <history>
    Given the history "<history>"
    Then it is found <verdict>

    Examples:
      | history                                     | verdict          |
      | changes and reads one after another         | linearizable     |
      | an unknown change that shows later          | linearizable     |
      | an unknown change that never shows          | linearizable     |
      | a read beside a change returns the old      | linearizable     |
      | a conflict beside the change that won       | linearizable     |
      | two unknown changes, the later one shows    | linearizable     |
      | an invalid change is refused                | linearizable     |
      | two are acknowledged on one base            | not linearizable |
      | a change is refused and shows               | not linearizable |
      | a read after a change returns the old       | not linearizable |
      | a read goes back                            | not linearizable |
      | an acknowledged change is lost              | not linearizable |
      | a conflict on the version that is current   | not linearizable |
      | a change shows before it is sent            | not linearizable |
      | an unknown change shows and vanishes        | not linearizable |

  Scenario: a history of 3,000 calls with unknown outcomes is judged, and a single stale read in it is found
    Given a history of 3000 calls, every fifth of unknown outcome
    Then it is found linearizable
    And with one stale read in it, it is found not linearizable

  Scenario: a history that would take too long is left undecided, not passed
    Given a history of 40 unknown changes without a base, and a read of what none wrote
    Then within 500 steps it is found undecided, which counts as a finding

  # ---- the record of what was taken

  Scenario: after 3,000 changes every one of them sent again has its first answer
    Given a table that has taken 3000 changes
    Then each of them sent again has its first answer and changes nothing
    And a change that was never taken is refused as a conflict
    And one more change writes as many bytes as the 10th did, give or take 20

  Scenario: what the record has dropped is left without a clear answer, never refused
    Given a table that has taken 5000 changes
    Then it keeps at most 4352 records
    And each of them sent again has its first answer or none that is clear, and changes nothing
    And a change that was never taken is refused as a conflict

  Scenario: a table with the older form of the record is read on
    Given a table that has taken 200 changes under the older form of the record
    Then each of them sent again has its first answer and changes nothing
    And one that the older form had dropped is left without a clear answer
    And after one more change the older form is gone and each still has its first answer

  Scenario: the first change is acknowledged again after 260 more, a restart and a lost disk
    Given the platform's operator interface of a simulated core
    When 260 changes follow the first, every core is killed, and later the primary loses its disk
    Then the first and the tenth sent again are acknowledged at every core after each of these
    And the last stays in force

  # ---- a core that is cut off

  Scenario Outline: a core that is cut off gives no clear answer, and gives it soon: <cut>
    Given the platform's operator interface of a simulated core
    When the core's primary is cut off for 20 seconds, <cut>, and every order is sent to every core
    Then every order was answered or left without a clear answer within 0.8 seconds
    And the one that was cut off answered none from what it last knew
    And the whole history is linearizable

    Examples:
      | cut                       |
      | both ways                 |
      | from what it sends        |
      | from what it should hear  |

  Scenario: a store is not refused by a primary that has only just taken over
    Given the platform's operator interface of a simulated core
    When the core's primary is killed, and a store is to be retired all the while
    Then the order was never refused

  Scenario: an order that takes long is acknowledged when sent again
    Given the platform's operator interface of a simulated core
    When a routing node freezes, and a change is sent again and again until it has a clear answer
    Then it was acknowledged within 4 seconds, at no try later than 0.8 seconds

  # ---- reads beside changes that are under way

  Scenario Outline: <reader> is told nothing of a change that is not confirmed yet
    Given a primary core whose backup confirms one batch at a time
    When <reader> asks, a change comes behind it, and the backup confirms the first batch only
    Then the answer holds nothing of the change
    And once the backup has confirmed the second batch, another answer holds it

    Examples:
      | reader         |
      | an operator    |
      | a routing node |

  Scenario: a silent process is greeted with the lease quorum that is confirmed, not with one under way
    Given a primary core whose backup confirms one batch at a time
    When a routing node asks, a register of stores comes behind it, and the backup confirms the first batch only
    Then a greeting names no register of stores
    And once the backup has confirmed the second batch, a greeting after another poll names it

  # ---- many orders, and primaries that die

  Scenario Outline: eight orders under way while primaries come and go, seed <seed>
    Given the platform's operator interface of a simulated core
    When operators send 8 orders at a time while the primary <trouble>, seed <seed>
    Then the whole history is linearizable
    And at least 10 changes were acknowledged

    Examples:
      | trouble                              | seed |
      | is killed between disk and answer    | 1    |
      | is killed between disk and answer    | 2    |
      | is killed between disk and answer    | 3    |
      | is cut off                           | 4    |
      | is cut off                           | 5    |
      | freezes                              | 6    |
      | freezes                              | 7    |

  Scenario: one number with two bodies at two cores in one instant
    Given the platform's operator interface of a simulated core
    When 20 times two operators send one number with different bodies at two cores at once, and both again
    Then each time one is acknowledged, both times, and the other is refused, both times

  Scenario: a patch sent again after its base has moved on
    Given the platform's operator interface of a simulated core
    When a patch whose answer is lost is sent again after two more changes
    Then it is acknowledged, and a patch that was never taken is refused

  Scenario: the judge can fail: a core that forgets what it has taken
    Given the platform's operator interface of a simulated core
    And a core that records no order
    When operators send 8 orders at a time while the primary is killed between disk and answer, seed 1
    Then the whole history is not linearizable
