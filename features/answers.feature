Feature: An answer reaches its own caller, and a request that may not repeat is sent once

  # ---- errors without a request id

  Scenario Outline: on a reused connection an error without an id is no answer: <acts> to <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<acts>"
    When "<path>" is requested
    And "<path>" is requested
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

  Scenario Outline: on a reused connection an error without an id promises nothing: <act> to <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<first>, <act>"
    When "<path>" is requested
    And "<path>" is requested with 400 ms
    Then the answer is 504

    Examples:
      | first    | act      | path     |
      | answer   | noid 503 | /once/x  |
      | answer   | noid 429 | /once/x  |
      | answer   | noid 503 | /keyed/x |
      | stream 3 | noid 503 | /turn/x  |

  Scenario Outline: on a new connection an error without an id is the answer: <act>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When "/once/x" is requested
    Then the answer is <status>
    And it ran 0 times
    And the next request reaches the replica on another connection

    Examples:
      | act      | status |
      | noid 503 | 503    |
      | noid 400 | 400    |

  # ---- answers without a length

  Scenario Outline: an answer without a length is complete once its connection is closed: <act> to <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When "<path>" is requested
    Then the answer is 200
    And it ran 1 times
    And the caller has the complete <what> of its own run
    And the next request reaches the replica on another connection

    Examples:
      | act           | path     | what   |
      | endless       | /once/x  | answer |
      | endless       | /any/x   | answer |
      | endless       | /keyed/x | answer |
      | endlessstream | /turn/x  | stream |
      | endlessstream | /line/x  | stream |

  Scenario Outline: an answer without a length that is reset is not complete: <act> to <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When "<path>" is requested
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
    When "/turn/x" is requested
    Then the caller gets no complete answer
    And it ran 1 times

    Examples:
      | act             |
      | brokenstream 0  |
      | brokenstream 50 |

  # ---- answers before the request's body has been read

  Scenario Outline: after an early answer its connection carries nothing but the rest of the body: <status>
    Given 1 node and the replicas "a b"
    And the replicas will in turn "early <status>"
    When "/once/x" is requested with a long body
    And requests are sent before and after the replica reads the rest of the body
    Then the answer is 200
    And each got its own answer
    And what the replica then reads is the rest of the body or the end of the connection

    Examples:
      | status |
      | 200    |
      | 503    |

  # ---- idle connections that end between the last check and the answer

  Scenario Outline: an idle connection that is reset after the last check fails no request: <path>
    Given 1 node and the replicas "a"
    When "<path>" is requested
    And the idle connections will be reset between the check and the write
    And "<path>" is requested
    Then the answer is 200
    And it ran 1 times
    And at least one connection was reset

    Examples:
      | path     |
      | /any/x   |
      | /once/x  |
      | /keyed/x |
      | /turn/x  |
      | /line/x  |

  Scenario Outline: a reused connection that ends during a request promises nothing: <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<first>, drop"
    When "<path>" is requested
    And "<path>" is requested
    Then the answer is 502
    And the request was dropped once and ran nowhere

    Examples:
      | first    | path     |
      | answer   | /any/x   |
      | answer   | /once/x  |
      | answer   | /keyed/x |
      | stream 3 | /turn/x  |
      | stream 3 | /line/x  |

  Scenario Outline: a repeatable request is run elsewhere when its reused connection ends: <path>
    Given 1 node and the replicas "a b"
    And idle connections to both replicas are open
    And the replicas will in turn "drop"
    When "<path>" is requested
    Then the answer is 200
    And it ran 1 times

    Examples:
      | path    |
      | /any/x  |
      | /line/x |

  Scenario: a keyed request whose connection ended is never run again
    Given 2 nodes and the replicas "a b"
    And idle connections to both replicas are open
    And the replicas will in turn "drop"
    When a keyed request is answered 502
    Then its repeats are 409 at first and 502 after half a minute, and it ran at most once

  # ---- keyed operations, over all orders of events

  Scenario Outline: in every order of events of <attempts> attempts with one key it runs once at most, and never blocks
    When every order of events of <attempts> attempts with one key is explored
    Then no invariant was violated in at least <states> states

    Examples:
      | attempts | states |
      | 1        | 10     |
      | 2        | 500    |
      | 3        | 20000  |

  Scenario: a repeat that gets 409 is recorded as not run, so that a late copy of its claim starts nothing
    Given 2 nodes and the replicas "a b"
    When a keyed request is held at its replica and repeated at both nodes
    Then the store has recorded that the repeats will not run
    And the first is answered, and later repeats get that answer

  Scenario: moved partitions and lost replies of the store neither run a keyed request twice nor refuse it
    Given 2 nodes and the replicas "a b"
    And the store replies to "once_begin, once_end" are lost once
    And every partition has moved to another primary
    When a keyed request is sent to node 1, then to node 2 and to node 1 again
    Then all three have one status, body, type and signature, and it ran once

  Scenario Outline: a keyed operation whose key cannot be looked up is never refused as not run, as an earlier attempt may have run: <cause>
    Given a routing node whose store <cause>
    When a keyed operation is claimed there
    Then its caller gets "outcome_unknown", and the store records that this attempt does not run

    Examples:
      | cause                             |
      | does not reply in time            |
      | says that its disk takes no writes |
