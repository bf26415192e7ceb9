Feature: Promises that the code checks while it runs

  A violation is counted under its name and written to the journal with its facts; it stops nothing. In all other scenarios a
  violation fails the scenario; here each is caused on purpose.

  Scenario: an event that the owner of the admission table fails on is dropped, a task is refused, the node serves on
    Given 1 node and the replicas "a"
    When the admission table fails on the next task
    Then the caller is told 503, "owner_step" was violated once, and the node serves the next one

  Scenario: a generation that goes back is seen
    Given 1 node and the replicas "a"
    When the admission table goes back to an older generation
    Then "generation_forward" was violated once, and the node serves the next one

  Scenario: a slot that is given back twice is seen
    Given 1 node and the replicas "a"
    When the admission table gives a slot back twice
    Then "slots_balance" was violated once, and the node serves the next one

  Scenario: work that may not repeat and is offered again is seen
    Given 1 node and the replicas "a b"
    When the gateway mistakes its route for a repeatable one, and the first answer is lost
    Then "sent_once" was violated once, and the node serves the next one

  Scenario: a refusal after an attempt that may have run is seen
    Given 1 node and the replicas "a"
    When the gateway reports "shed" for a request that may have run
    Then "refused_after_send" was violated once, and the node serves the next one

  Scenario: an answer to another request is seen
    Given 1 node and the replicas "a"
    When the gateway accepts every answer as its own, and a replica sends an old one
    Then "answer_owner" was violated once, and the node serves the next one

  Scenario: events that do not rise are seen, and the stream is cut
    Given 1 node and the replicas "a"
    When a replica sends one event of a stream twice
    Then the stream is cut after the first, "event_order" was violated once, and the node serves the next one

  Scenario: a retained turn without the turns before it is seen
    Given 1 node and the replicas "a"
    When a turn is continued whose predecessor the store has lost
    Then the caller is told 404, "whole_chain" was violated once, and the node serves the next one

  Scenario Outline: a request that <how> is seen, and its connection is cut
    Given 1 node and the replicas "a"
    When the handler of a request <how>
    Then the connection is cut, "request_ended" was violated once, and the node serves the next one

    Examples:
      | how                   |
      | ends without a word   |
      | fails by an exception |

  Scenario: a copy that loses changes is seen
    When a copy of a partition is rolled back by two changes
    Then "copy_forward" was found among the effects

  Scenario Outline: a replica set with <members> of <copies> members, <lost> lost disks among the missing, is <verdict>
    When the core is asked for a replica set of <members> in the place of <before>, with <lost> lost disks, <copies> copies
    Then the check of "enough_members" finds it <verdict>

    Examples:
      | members | before | copies | lost | verdict      |
      | 1       | 2      | 2      | 0    | violated     |
      | 1       | 2      | 2      | 1    | not violated |
      | 2       | 3      | 3      | 0    | violated     |
      | 2       | 3      | 3      | 1    | not violated |
      | 1       | 3      | 3      | 1    | violated     |
      | 2       | 2      | 3      | 0    | not violated |

  Scenario: a configuration that is older than the acknowledged one is seen
    When a core that has acknowledged generation 5 shows generation 4
    Then "acknowledged_shown" was found among the effects
