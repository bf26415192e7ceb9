Feature: A gateway keeps to its callers' time, to how often a request may run, and stops when they leave

  # ---- callers that leave

  Scenario Outline: a request whose new connection takes long is looked at once more before it is written, <event>, <path>
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
      | the caller leaves        | /any/x  | none   |
      | the caller leaves        | /once/x | none   |
      | the caller leaves        | /turn/x | none   |

  Scenario Outline: what may be repeated is cut at its replica when its caller leaves: <path>, <act>
    Given 1 node and the replicas "<names>"
    And the replicas will in turn "<act>"
    When the caller of "<path>" leaves while its replica is at work
    Then the replica's work is cut within half a second
    And nothing of it reaches another replica

    Examples:
      | path    | act            | names |
      | /any/x  | silent         | a     |
      | /any/x  | silent, silent | a b   |
      | /line/x | paced 9        | a b   |
      | /line/x | silent, silent | a b   |
      | /turn/x | silent         | a     |

  Scenario Outline: nothing is sent for a caller that left while its request waited: <path>
    Given 1 node and the replicas "a"
    And every slot of the replicas is taken
    When the caller of "<path>" leaves while it waits, and the slots become free
    Then nothing of it has run

    Examples:
      | path    |
      | /any/x  |
      | /once/x |
      | /turn/x |
      | /line/x |

  Scenario: nothing is sent for a caller that left while its store was asked
    Given 1 node and the replicas "a"
    And every part is away
    When the caller of "/turn/x" leaves while it waits, and the stores are back
    Then nothing of it has run

  # ---- how many replicas, and with how much time

  Scenario: a stream that its replica broke off goes to no more replicas than its route allows
    Given 1 node and the replicas "a b c"
    And every route allows 1 attempt
    And the replicas will in turn "break 2, stream 5"
    When "/line/x" is asked
    Then the answer is 200 and cut short
    And it ran 1 times

  Scenario: a replica that has ended does not count among a stream's attempts
    Given 1 node and the replicas "a b c"
    And every route allows 1 attempt
    And the replicas will in turn "die 2, stream 5"
    When "/line/x" is asked
    Then the answer is 200 and whole, with the head of the first replica
    And its events are 1 to 5, each once
    And it ran 2 times, each from where the one before broke off

  Scenario Outline: no request runs on more replicas than its route's attempts: <path>, <most>
    Given 1 node and the replicas "a b c d"
    And every route allows <most> attempts
    And the replicas will in turn "<acts>"
    When "<path>" is asked
    Then it ran <runs> times

    Examples:
      | path    | most | runs | acts                                 |
      | /any/x  | 1    | 1    | reset, reset, reset, reset           |
      | /any/x  | 2    | 2    | reset, reset, reset, reset           |
      | /any/x  | 3    | 3    | reset, reset, reset, reset           |
      | /any/x  | 2    | 1    | full, reset, reset, reset            |
      | /line/x | 1    | 1    | break 0, break 0, break 0, break 0   |
      | /line/x | 2    | 2    | break 1, break 0, break 0, break 0   |

  Scenario Outline: a replica is handed no more time than its caller has left: <path> with <ms> ms
    Given 1 node and the replicas "a b"
    And the replicas will in turn "<acts>"
    When "<path>" is asked with <ms> ms
    Then each replica was handed at most what was left of <least> ms

    Examples:
      | path     | ms   | acts            | least |
      | /any/x   | 900  | answer          | 900   |
      | /any/x   | 900  | silent, answer  | 900   |
      | /any/x   | 9000 | silent, answer  | 5000  |
      | /once/x  | 900  | answer          | 900   |
      | /keyed/x | 900  | full, answer    | 900   |
      | /turn/x  | 900  | stream 3        | 900   |
      | /line/x  | 900  | break 2, full   | 900   |

  # ---- the route's time

  Scenario Outline: a request that is unanswered at its route's time gets its final answer within half a second: <path>, <act>
    Given 1 node and the replicas "a b"
    And every route allows 600 ms
    And the replicas will in turn "<act>"
    When "<path>" is asked with 4000 ms and timed
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

  Scenario: a turn whose store goes away at the end of its time is ended within half a second
    Given 1 node and the replicas "a"
    And every route allows 600 ms
    When the store goes away when a turn ends shortly before its time
    Then its end came at most 500 ms after the route's 600 ms

  # ---- failures are the gateway's own or the replica's

  Scenario Outline: a failure with another status than its replica's bears no signature: <act> to <path>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When "<path>" is asked
    Then the answer is 502
    And it bears no signature

    Examples:
      | act        | path     |
      | status 503 | /any/x   |
      | status 503 | /once/x  |
      | status 429 | /keyed/x |
      | status 408 | /turn/x  |
      | status 503 | /line/x  |
      | short      | /once/x  |

  # ---- connections that rest

  Scenario: a connection of a caller stays open for the whole time that it may rest
    Given 1 node and the replicas "a"
    And callers may rest 300 ms
    When a connection is used, callers may then rest 4000 ms, and it is used again before and after resting 3000 ms
    Then each of its requests was answered on it
