@together
Feature: At several times the ceiling the tasks that are served stay fast

  The capacity is scaled down: a turn of 14,016 tokens takes 0.5 s of service, and the deadline is 3 s.

  Scenario Outline: <times> times the ceiling, seed <seed>
    Given the ceiling under a steady load, seed <seed>
    When <times> times the ceiling is offered for 8 seconds
    Then refusals begin when the pending work and the wait of the oldest task together fill the deadline less the service time
    And 50 of 100 of all refusals come within <half> ms, and none after the deadline
    And 95 of 100 of all refusals come within <most> ms, and none after the deadline
    And the pending work never exceeds what drains within the deadline
    And nothing is pending 3 s after the load ends
    And goodput is at least 90 of 100 of the ceiling
    And no tokens are spent on abandoned work
    And less than 5 of 100 slots are idle meanwhile

    Examples:
      | times | seed | half | most |
      | 2     | 1    | 1300 | 1700 |
      | 4     | 2    | 800  | 1000 |

  Scenario: the bound in tokens is the deadline less the service, turned into seconds
    Given a routing node whose slots drain 1000 tokens a second
    When tasks of 100 tokens, a deadline of 3 s and a service time of 0.5 s arrive all at once
    Then 8 are sent, those whose wait and service fit into the deadline wait, and all others are refused at once

  Scenario: newest-first answers sooner than first-in-first-out
    When 4 times the ceiling is offered with newest-first and with first-in-first-out
    Then the median answer time of newest-first is at most half of first-in-first-out
    And both keep their goodput

  Scenario: without admission goodput collapses
    When 4 times the ceiling is offered with admission, and without it first-in-first-out
    Then goodput without admission is at most half of goodput with it
    And the pending work without admission is at least 5 times as deep

  Scenario: without the second check at dequeue, work is sent that cannot meet its deadline
    Given a fleet that breaks a rule: "skip_recheck"
    When 4 times the ceiling is offered first-in-first-out
    Then tokens are spent on abandoned work, and the judge finds "hopeless"

  Scenario: a route that was slow once is tried again, one task at a time
    Given a routing node whose route has recently taken 10 s, with a deadline of 3 s
    When a task of it arrives, and another while the first runs
    Then the first is sent on trial and the other refused at once
    When such trials take 0.4 s, one after another
    Then after at most 40 of them two tasks are sent at once again

  Scenario: a caller that disconnects withdraws its pending task
    Given a routing node with all slots in use and two pending tasks
    When the caller of the first disconnects
    Then only the second waits, and it is sent when a slot becomes free

  Scenario: a rate that was measured too low does not leave slots idle for ever
    Given a routing node that has measured a hundredth of its true rate
    When tasks of 0.4 s arrive at twice the capacity of its slots, for 20 s
    Then in the last 5 s every slot is busy
