Feature: An answer reaches its own caller, and work that may not repeat is sent once

  # ---- errors that do not say whose they are

  Scenario Outline: on a kept connection an error without an id is no answer: <acts> to <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<acts>"
    When "<path>" is asked
    And "<path>" is asked
    Then the answer is 200
    And it ran 1 times
    And the caller has the answer of its own run

    Examples:
      | acts                 | path     |
      | answer, latenoid 503 | /once/x  |
      | answer, latenoid 400 | /once/x  |
      | answer, latenoid 500 | /any/x   |
      | answer, latenoid 503 | /any/x   |
      | answer, latenoid 503 | /keyed/x |

  Scenario Outline: on a kept connection an error without an id promises nothing: <act> to <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<first>, <act>"
    When "<path>" is asked
    And "<path>" is asked with 400 ms
    Then the answer is 504

    Examples:
      | first    | act      | path     |
      | answer   | noid 503 | /once/x  |
      | answer   | noid 429 | /once/x  |
      | answer   | noid 503 | /keyed/x |
      | stream 3 | noid 503 | /turn/x  |

  Scenario Outline: as the first answer of a connection an error without an id is taken: <act>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When "/once/x" is asked
    Then the answer is <status>
    And it ran 0 times
    And the next request of the replica comes on another connection

    Examples:
      | act      | status |
      | noid 503 | 503    |
      | noid 400 | 400    |

  # ---- answers without a length

  Scenario Outline: an answer without a length is whole once its connection has ended: <act> to <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When "<path>" is asked
    Then the answer is 200
    And it ran 1 times
    And the caller has the whole <what> of its own run
    And the next request of the replica comes on another connection

    Examples:
      | act           | path     | what   |
      | endless       | /once/x  | answer |
      | endless       | /any/x   | answer |
      | endless       | /keyed/x | answer |
      | endlessstream | /turn/x  | stream |
      | endlessstream | /line/x  | stream |

  Scenario Outline: an answer without a length that is reset is not whole: <act> to <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When "<path>" is asked
    Then the answer is 502
    And it ran 1 times

    Examples:
      | act       | path     |
      | broken 0  | /once/x  |
      | broken 50 | /once/x  |
      | broken 0  | /any/x   |
      | broken 50 | /keyed/x |

  Scenario Outline: a stream without a length that is reset does not look complete: <act>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When "/turn/x" is asked
    Then the caller gets no whole answer
    And it ran 1 times

    Examples:
      | act             |
      | brokenstream 0  |
      | brokenstream 50 |

  # ---- answers that come before the request's body has been read

  Scenario Outline: after an early answer nothing but the rest of the body comes on its connection: <status>
    Given 1 node and the replicas "a b"
    And the replicas will in turn "early <status>"
    When "/once/x" is asked with a long body
    And requests are asked before the replica has read on, and after it
    Then the answer is 200
    And each got its own answer
    And what the replica read on is the rest of the body or the end of the connection

    Examples:
      | status |
      | 200    |
      | 503    |

  # ---- kept connections that end between the last look at them and the answer

  Scenario Outline: a kept connection that was reset after the last look at it costs nothing: <path>
    Given 1 node and the replicas "a"
    When "<path>" is asked
    And the kept connections will be reset between the look at them and the write
    And "<path>" is asked
    Then the answer is 200
    And it ran 1 times
    And a connection was reset in time

    Examples:
      | path     |
      | /any/x   |
      | /once/x  |
      | /keyed/x |
      | /turn/x  |
      | /line/x  |

  Scenario Outline: a kept connection that ends under a request makes no promise: <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<first>, drop"
    When "<path>" is asked
    And "<path>" is asked
    Then the answer is 502
    And the request was dropped once and ran nowhere

    Examples:
      | first    | path     |
      | answer   | /any/x   |
      | answer   | /once/x  |
      | answer   | /keyed/x |
      | stream 3 | /turn/x  |
      | stream 3 | /line/x  |

  Scenario Outline: what may be repeated goes on elsewhere when its kept connection ends: <path>
    Given 1 node and the replicas "a b"
    And both replicas have kept connections
    And the replicas will in turn "drop"
    When "<path>" is asked
    Then the answer is 200
    And it ran 1 times

    Examples:
      | path    |
      | /any/x  |
      | /line/x |

  Scenario: a key whose connection ended under it is never run again
    Given 2 nodes and the replicas "a b"
    And both replicas have kept connections
    And the replicas will in turn "drop"
    When a keyed request is lost
    Then its repeats are 409 at first and 502 after half a minute, and it ran at most once

  # ---- keyed work, over all orders of events

  Scenario Outline: in every order of events of <tries> tries with one key it runs once at most, and never blocks
    When every order of events of <tries> tries with one key is played
    Then no promise was broken, over at least <states> states

    Examples:
      | tries | states |
      | 1     | 10     |
      | 2     | 500    |
      | 3     | 20000  |

  Scenario: a repeat that hears 409 is given up in the store, so that a late copy of its claim begins nothing
    Given 2 nodes and the replicas "a b"
    When a keyed request is held at its replica and repeated at both nodes
    Then the store knows that the repeats will not run
    And the first is answered, and later repeats get that answer

  Scenario: parts that moved and lost returns of the store neither run a keyed request twice nor refuse it
    Given 2 nodes and the replicas "a b"
    And the returns of "once_begin, once_end" are lost once
    And every part has moved
    When a keyed request is asked at node 1 and again at node 2 and at node 1
    Then all three have one status, body, type and signature, and it ran once

  Scenario Outline: once-work whose key cannot be looked up is never refused as not run, as an earlier try may have run: <cause>
    Given a routing node whose store <cause>
    When once-work is claimed there
    Then its caller is told "outcome_unknown", and this try is given up in the store

    Examples:
      | cause                             |
      | does not return in time           |
      | says that its disk takes no writes |
