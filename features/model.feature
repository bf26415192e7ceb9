@together
Feature: The replication and election reducers keep their promises in every order of events

  Scenario: a replica set that only one of three voters accepted does not count as granted
    Given a modelled core of 3 members with 2 copies
    When it takes these steps
      """
      tick b
      deliver ballot b b
      deliver ballot b c
      sync b
      sync c
      deliver answer ballot b b
      deliver answer ballot b c
      deliver fill b c
      sync c
      deliver answer fill b c
      sync b
      deliver follow b c
      sync c
      deliver answer follow b c
      deliver accept b b
      sync b
      deliver answer accept b b
      lose accept b c
      lose accept b a
      lose ballot b a
      tick b
      tick b
      tick b
      cut a
      write b
      cut a
      tick a
      cut b
      tick a
      cut b
      tick a
      cut b
      write a
      cut b
      """
    Then no invariant is broken
    And generation 1 is the newest that a client was told

  Scenario: two leaders never answer at once after a replica set was accepted by a minority
    Given a modelled core of 5 members with 2 copies
    When it takes these steps
      """
      tick b
      deliver ballot b b
      deliver ballot b c
      deliver ballot b d
      sync b
      sync c
      sync d
      deliver answer ballot b b
      deliver answer ballot b c
      deliver answer ballot b d
      deliver fill b c
      sync c
      deliver answer fill b c
      sync b
      deliver follow b c
      sync c
      deliver answer follow b c
      deliver accept b b
      sync b
      deliver answer accept b b
      lose accept b c
      lose accept b d
      lose accept b e
      lose accept b a
      lose ballot b e
      lose ballot b a
      tick b
      tick b
      tick b
      among b c d
      read b
      among b c d
      tick a
      among a d e
      tick a
      among a d e
      tick a
      among a d e
      write a
      among a d e
      read b
      among b c d
      """
    Then no invariant is broken

  Scenario: the operators' view shows no change that is not confirmed yet
    Given a modelled core of 3 members with 2 copies
    When it takes these steps
      """
      read a
      write a
      deliver frame a b
      deliver answer frame a b
      """
    Then no invariant is broken
    And generation 0 is the newest that a client was told

  Scenario: a backup confirms no read and no greeting before its disk has what it has taken
    Given a modelled partition of 3 members with 2 copies
    When it takes these steps
      """
      write a
      deliver frame a b
      sync a
      crash a
      tick a
      stall b
      read a
      stall b
      """
    Then no invariant is broken
    And generation 0 is the newest that a client was told

  Scenario: a leader whose disk stalls answers nothing through a new replica set before it is synced
    Given a modelled partition of 4 members with 3 copies
    And verdicts that may leave fewer copies
    When it takes these steps
      """
      write a
      stall a
      move c c 2 1 a c
      stall a
      told_seat a
      stall a
      """
    Then generation 0 is the newest that a client was told

  Scenario: a piece of an image that arrives late empties no copy that may take its seat
    Given a modelled partition of 3 members with 2 copies
    When it takes these steps
      """
      move a c 2 1 a c
      give_up fill a c
      tick a
      deliver fill a c
      sync c
      write a
      deliver frame a b
      sync b
      deliver answer frame a b
      sync a
      deliver answer fill a c
      deliver follow a c
      sync c
      deliver answer follow a c
      sync a
      deliver follow a c
      sync c
      deliver answer follow a c
      deliver seat a authority
      deliver fill a c
      sync c
      """
    Then no invariant is broken
    And generation 1 is the newest that a client was told

  Scenario: two leaders of a move to one epoch fill the same joiner
    Given a modelled partition of 3 members with 2 copies
    When it takes these steps
      """
      move b c 2 1 b c
      settle
      move c a 3 2 c a
      move b a 3 2 b a
      write b
      give_up fill b a
      settle
      """
    Then no invariant is broken
    And generation 1 is the newest that a client was told

  Scenario: a member that missed a replica set takes the next one with what it holds
    Given a modelled partition of 4 members with 3 copies
    When it takes these steps
      """
      write a
      move c d 2 1 b c d
      stall a
      move c a 3 2 c d a
      among a c
      """
    Then no invariant is broken
    And generation 1 is the newest that a client was told

  Scenario: a verdict about a member that lives, if it leaves one copy, spends the tolerance
    Given a modelled partition of 3 members with 2 copies
    And verdicts that may leave fewer copies
    When it takes these steps
      """
      move a a 2 1 a
      write a
      settle
      """
    Then the invariant "copies" is broken

  Scenario Outline: short runs of the cluster <cluster> break nothing
    Given the modelled cluster "<cluster>"
    When all runs of <depth> steps with few troubles are looked at
    Then none breaks an invariant, after <states> states or more

    Examples:
      | cluster            | depth | states |
      | partition          | 4     | 5000   |
      | partition-of-three | 3     | 2000   |
      | partition-work     | 4     | 2000   |
      | core-of-three      | 3     | 1000   |
      | core-of-five       | 3     | 2000   |

  Scenario Outline: random walks over the cluster <cluster> break nothing
    Given the modelled cluster "<cluster>"
    When <walks> random walks of 40 steps are taken, seed 1
    Then none breaks an invariant, after <states> states or more

    Examples:
      | cluster            | walks | states |
      | partition          | 100   | 1000   |
      | partition-of-three | 100   | 1000   |
      | partition-repeats  | 60    | 1000   |
      | partition-work     | 60    | 1000   |
      | core-of-three      | 100   | 1000   |
      | core-of-four       | 60    | 1000   |
      | core-of-five       | 100   | 1000   |

  Scenario Outline: the deliberate fault <fault> is found
    Given the deliberate fault "<fault>"
    When its written run is taken
    Then an invariant is broken, and none by the same run without the fault

    Examples:
      | fault |
      | return_before_backups |
      | return_before_own_disk |
      | confirm_before_sync |
      | accept_old_session |
      | accept_old_epoch |
      | read_without_backups |
      | skip_seal |
      | forget_seal |
      | forget_seat |
      | propose_early |
      | joiner_drops_changes |
      | always_fit |
      | fill_again |
      | skip_fill |
      | joiner_keeps_rows |
      | return_on_grant |
      | ignore_longer_tail |
      | forget_repeats |
      | ignore_base |
      | begin_again |
      | grant_any_base |
      | promise_before_sync |
      | forget_promise |
      | vote_twice |
      | accept_lower |
      | ignore_newest |
      | grant_what_one_accepted |
      | show_unconfirmed |
      | half_is_enough |

  Scenario: the list of deliberate faults is whole
    Then the list of faults is that of this feature

  # Guards against a turn that is acknowledged while the turns before it are gone or going.
  Scenario: in every order of a few turns, waits and sweeps, an acknowledged turn has its whole conversation
    When every order of 8 steps with 3 turns and 2 waits is taken in the model of retained turns
    Then no promise is broken in any of them, and some turns were stored whole

  Scenario: without the check of the chain, the search finds a turn that is promised and unknown
    When every order of 8 steps with 3 turns and 2 waits is taken in the model of retained turns without the check of the chain
    Then the search finds "is promised and unknown"
