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
