Feature: A hanging replica is detected before deadlines expire, and by all nodes together

  Scenario: a turn that may be resumed leaves a silent replica
    Given 1 node and the replicas "a b c d"
    And streams of its routes are never silent for long
    When "/line/x" is asked while the first replica stays silent
    Then the answer is complete within 1500 ms
    And it ran 2 times
    And one replica is ejected

  Scenario: a turn that may not be sent twice waits for its replica, which is ejected meanwhile
    Given 1 node and the replicas "a b c d"
    And streams of its routes are never silent for long
    When "/turn/x" is asked with 1500 ms while its replica stays silent
    Then one replica is ejected within 700 ms
    And the answer is 504
    And it ran 1 times

  Scenario: with silence switched off only the deadline shows it
    Given 1 node and the replicas "a b c d"
    And streams of its routes are never silent for long
    And "silence" is switched off
    When "/turn/x" is asked with 1500 ms while its replica stays silent
    Then no replica is ejected within 700 ms
    And the answer is 504

  Scenario: replicas are not ejected for silence if most of them are silent
    Given 1 node and the replicas "a b c d"
    And streams of its routes are never silent for long
    When "/turn/x" is asked 4 times at once with 1500 ms while all replicas stay silent
    Then one replica is ejected within 700 ms

  Scenario Outline: a wait that ended <late> ms late, of a process that <what>
    Given a watch over a stream with a limit of 250 ms
    When nothing has been received at the limit and the clock is <late> ms past it
    Then the replica is <reported> as stalled

    Examples:
      | late | what        | reported     |
      | 0    | ran         | reported     |
      | 400  | stood still | not reported |

  Scenario: a replica that failed on several nodes is ejected on all nodes until it recovers
    Given a simulated fleet under load
    When a model replica is killed
    Then within 3 s every routing node has ejected it, though it has not failed on every one
    When it is started again
    Then within 12 s no routing node has it ejected

  Scenario: failures that one isolated node reports eject no replica on other nodes
    Given a simulated fleet under load
    When a routing node is cut off from the replicas for 5 s
    Then no other routing node ejected a replica on its report

  Scenario Outline: the replica that is chosen when others failed with "a", pooled_failures <switch>
    Given a node on which the core has ejected "a", of "a b c d", with pooled_failures <switch>
    Then 40 tasks go to "<where>"
    When "a" has failed on the node itself, and that ejection is over
    Then 40 tasks go to "<after>"

    Examples:
      | switch | where   | after   |
      | on     | b c d   | a b c d |
      | off    | a b c d | a b c d |

  Scenario Outline: what nodes of zones x, y and z say together: <case>
    Given routing nodes that report of replica "r": <reports>
    Then the core has "r" <state>

    Examples:
      | case                                 | reports                  | state      |
      | two fail with all they send          | x 2 0, y 1 0             | ejected    |
      | nearly half fails, all nodes report  | x 2 2, y 1 2, z 0 1      | ejected    |
      | few of many fail                     | x 2 20, y 2 15, z 0 30   | used       |
      | one node fails with everything       | x 9 0, z 0 1             | used       |
      | the nodes of one zone only           | x 5 0, x 5 0, y 0 1      | used       |
      | too few to decide                    | x 1 0, y 1 0             | used       |

  Scenario Outline: a task that <ends> counts as <what> of its replica
    Given a node where a task failed at "r" just now
    When another <ends>
    Then it reports <failures> failures and <successes> successes at "r"

    Examples:
      | ends                                  | what      | failures | successes |
      | succeeds                              | a success | 1        | 1         |
      | breaks off                            | a failure | 2        | 0         |
      | is answered with an error             | a failure | 2        | 0         |
      | is refused for lack of a slot         | nothing   | 1        | 0         |
