@together
Feature: At several times the ceiling the served part stays fast

  The quota is scaled down; a turn of 14,016 tokens holds 0.5 s of service, the deadline is 3 s.

  Scenario Outline: <times> times the ceiling, seed <seed>
    Given the ceiling that a steady load finds, seed <seed>
    When <times> times the ceiling is offered for 8 seconds
    Then refusing begins when the work before the oldest and the time it has waited fill its deadline less its service
    And 50 of 100 of all refusals come within <half> ms, and none after the deadline
    And 95 of 100 of all refusals come within <most> ms, and none after the deadline
    And the pending work is never deeper than the deadline
    And nothing is pending 3 s after the load
    And goodput is at least 90 of 100 of the ceiling
    And no tokens are spent on abandoned work
    And less than 5 of 100 slots stand idle meanwhile

    Examples:
      | times | seed | half | most |
      | 2     | 1    | 1300 | 1700 |
      | 4     | 2    | 800  | 1000 |

  Scenario: the bound in tokens is the deadline less the service, turned into seconds
    Given a routing node whose slots drain 1000 tokens a second
    When tasks of 100 tokens, a deadline of 3 s and a service of 0.5 s come all at once
    Then 8 are sent, those whose wait and service fit the deadline wait, and each one more is refused at once

  Scenario: newest-first answers sooner than first-in-first-out
    When 4 times the ceiling is offered with newest-first and with first-in-first-out
    Then the median answer of newest-first is at least 2 times as fast
    And both hold their goodput

  Scenario: without admission the served part rots
    When 4 times the ceiling is offered with admission and, first-in-first-out, without
    Then goodput without is at most half of goodput with
    And the pending work without is at least 5 times as deep

  Scenario: work that is not asked about again is sent hopeless
    Given a fleet that breaks a rule: "skip_recheck"
    When 4 times the ceiling is offered first-in-first-out
    Then tokens are spent on abandoned work, and the judge finds "hopeless"

  Scenario: a route that was slow once is tried again, one task at a time
    Given a routing node whose route has lately taken 10 s of a deadline of 3 s
    When a task of it arrives, and another while the first runs
    Then the first is sent on trial and the other refused at once
    When such trials take 0.4 s, one after another
    Then after at most 40 of them two tasks are sent at once again

  Scenario: a caller that leaves takes its pending task out
    Given a routing node whose slots are full and whose line holds two tasks
    When the caller of the first leaves
    Then only the second waits, and it is sent when a slot comes free

  Scenario: a rate that was measured too low does not strand slots for ever
    Given a routing node that has measured a hundredth of its true rate
    When tasks of 0.4 s come twice as fast as its slots take them, for 20 s
    Then in the last 5 s every slot is busy
