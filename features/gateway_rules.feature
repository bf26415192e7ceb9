Feature: A gateway observes deadlines and attempt limits, and cancels requests of disconnected callers

  # ---- disconnected callers

  Scenario Outline: a request whose new connection takes long is checked again before it is written, <event>, <path>
    Given 1 node and the replicas "a"
    When "<path>" waits for a new connection while <event>
    Then nothing has run, and the answer is "<answer>"

    Examples:
      | event                    | path    | answer |
      | the lease ends           | /any/x  | 503    |
      | the lease ends           | /once/x | 503    |
      | the lease ends           | /turn/x | 503    |
      | the replica drains       | /once/x | 503    |
      | the replica drains       | /turn/x | 503    |
      | the caller disconnects   | /any/x  | none   |
      | the caller disconnects   | /once/x | none   |
      | the caller disconnects   | /turn/x | none   |

  Scenario Outline: a repeatable request is cut at its replica when its caller disconnects: <path>, <act>
    Given 1 node and the replicas "<names>"
    And the replicas will in turn "<act>"
    When the caller of "<path>" disconnects while its replica is at work
    Then the replica's work is cut within half a second
    And it reaches no other replica

    Examples:
      | path    | act            | names |
      | /any/x  | silent         | a     |
      | /any/x  | silent, silent | a b   |
      | /line/x | paced 9        | a b   |
      | /line/x | silent, silent | a b   |
      | /turn/x | silent         | a     |

  Scenario Outline: nothing is sent for a caller that disconnected while its request was queued: <path>
    Given 1 node and the replicas "a"
    And every slot of the replicas is taken
    When the caller of "<path>" disconnects while it waits, and the slots become free
    Then it has not run

    Examples:
      | path    |
      | /any/x  |
      | /once/x |
      | /turn/x |
      | /line/x |

  Scenario: nothing is sent for a caller that disconnected while its store was unreachable
    Given 1 node and the replicas "a"
    And every partition is unreachable
    When the caller of "/turn/x" disconnects while it waits, and the stores are reachable again
    Then it has not run

  # ---- attempts and deadlines

  Scenario: a stream that its replica broke off goes to no more replicas than its route allows
    Given 1 node and the replicas "a b c"
    And every route allows 1 attempt
    And the replicas will in turn "break 2, stream 5"
    When "/line/x" is requested
    Then the answer is 200 and cut short
    And it ran 1 times

  Scenario: a replica that no longer accepts connections does not count against a stream's attempts
    Given 1 node and the replicas "a b c"
    And every route allows 1 attempt
    And the replicas will in turn "die 2, stream 5"
    When "/line/x" is requested
    Then the answer is 200 and complete, with the headers of the first replica
    And its events are 1 to 5, each once
    And it ran 2 times, each from where the one before broke off

  Scenario Outline: no request runs on more replicas than its route's attempts: <path>, <max_attempts>
    Given 1 node and the replicas "a b c d"
    And every route allows <max_attempts> attempts
    And the replicas will in turn "<acts>"
    When "<path>" is requested
    Then it ran <runs> times

    Examples:
      | path    | max_attempts | runs | acts                                 |
      | /any/x  | 1            | 1    | reset, reset, reset, reset           |
      | /any/x  | 2            | 2    | reset, reset, reset, reset           |
      | /any/x  | 3            | 3    | reset, reset, reset, reset           |
      | /any/x  | 2            | 1    | full, reset, reset, reset            |
      | /line/x | 1            | 1    | break 0, break 0, break 0, break 0   |
      | /line/x | 2            | 2    | break 1, break 0, break 0, break 0   |

  Scenario Outline: a replica gets no more time than its caller has left: <path> with <ms> ms
    Given 1 node and the replicas "a b"
    And the replicas will in turn "<acts>"
    When "<path>" is requested with <ms> ms
    Then each replica's deadline was at most what was left of <limit> ms

    Examples:
      | path     | ms   | acts            | limit |
      | /any/x   | 900  | answer          | 900   |
      | /any/x   | 900  | silent, answer  | 900   |
      | /any/x   | 9000 | silent, answer  | 5000  |
      | /once/x  | 900  | answer          | 900   |
      | /keyed/x | 900  | full, answer    | 900   |
      | /turn/x  | 900  | stream 3        | 900   |
      | /line/x  | 900  | break 2, full   | 900   |

  # ---- the route's timeout

  Scenario Outline: a request that is unanswered at its route's timeout gets its final answer within half a second: <path>, <act>
    Given 1 node and the replicas "a b"
    And every route allows 600 ms
    And the replicas will in turn "<act>"
    When "<path>" is requested with 4000 ms and timed
    Then its final answer came between 0 and 500 ms after the route's 600 ms

    Examples:
      | path     | act                    |
      | /any/x   | silent, silent, silent |
      | /once/x  | silent                 |
      | /keyed/x | silent                 |
      | /turn/x  | silent                 |
      | /turn/x  | paced 9                |
      | /line/x  | silent                 |
      | /line/x  | paced 9                |

  Scenario: a turn whose store becomes unreachable near its timeout is ended within half a second
    Given 1 node and the replicas "a"
    And every route allows 600 ms
    When the store becomes unreachable before a turn ends shortly before its timeout
    Then its connection ended at most 500 ms after the route's 600 ms

  # ---- failures of the gateway or of the replica

  Scenario Outline: a failure with another status than its replica's does not have the replica's signature: <act> to <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When "<path>" is requested
    Then the answer is 502
    And it does not have the replica's signature

    Examples:
      | act        | path     |
      | status 503 | /any/x   |
      | status 503 | /once/x  |
      | status 429 | /keyed/x |
      | status 408 | /turn/x  |
      | status 503 | /line/x  |
      | short      | /once/x  |

  # ---- idle connections

  Scenario: a caller's idle connection stays open for the whole idle limit
    Given 1 node and the replicas "a"
    And callers' connections may be idle for 300 ms
    When a connection is used, the idle limit is set to 4000 ms, and it is used again before and after 3000 idle ms
    Then each request was answered on this connection
