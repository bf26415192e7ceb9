Feature: A gateway carries requests by host and path, and keeps every promise of its answers

  # ---- as it came

  Scenario: a request and its answer pass as they came
    Given 1 node and the replicas "a"
    When a request with a query, odd bytes and headers of its own is passed on
    Then the replica ran it as it came, and its answer came back as it was
    And what concerns one connection only was not passed on

  Scenario: many requests on one connection, bodies in chunks, and requests sent ahead each get their own answer
    Given 1 node and the replicas "a b"
    When a caller sends requests of all these kinds on one connection
    Then each is answered in its turn, and the replicas ran just these

  Scenario Outline: what one server would read otherwise than another is not passed on: <kind>
    Given 1 node and the replicas "a"
    When a request is sent whose end is in doubt: <kind>
    Then it is refused or run as one request, and nothing else ran

    Examples:
      | kind                    |
      | a length and chunks     |
      | two lengths             |
      | a signed length         |
      | chunked twice           |
      | a space before a colon  |

  Scenario Outline: what comes before an answer, or has no body, passes well: <act> to <method>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When a request by <method> is asked
    Then the answer is <status> without what is not its own
    And the next request on the same connection gets its own answer

    Examples:
      | act       | method | status |
      | continue  | GET    | 200    |
      | empty 204 | GET    | 204    |
      | empty 304 | GET    | 304    |
      | empty 204 | POST   | 204    |

  Scenario: of a host's routes the longest prefix counts, and no route is 404
    Given 1 node and the replicas "a"
    When "/none/x" is asked
    Then the answer is 404
    And nothing ran

  Scenario: without a lease nothing is sent
    Given 1 node and the replicas "a"
    And a node without a lease
    When "/once/x" is asked at node 2
    Then the answer is 503 with a time to come back
    And nothing ran

  Scenario: requests of a session and of a key keep to one side of a split, and all go where the weights say
    Given 1 node and the replicas "a b"
    And the routes go to "a" and "b" by the weights 3 and 1
    When 200 sessions ask twice each
    Then each session kept to one replica, and about a quarter went to "b"
    And with a weight of 0 none goes to "b"

  Scenario: without affinity each part of a split gets its weight's share of the requests, however few sessions ask
    Given 2 nodes and the replicas "a b"
    And the routes go to "a" and "b" by the weights 3 and 1 without affinity
    When 4 sessions ask 50 times each
    Then the share of "b" lies within 0.02 of 0.25

  Scenario: a policy that comes while requests run counts for the next ones
    Given 1 node and the replicas "a"
    When a policy without the route comes while a request runs
    Then that request is answered, and the next is 404

  # ---- turns

  Scenario: each event is passed on as it comes, and the next turn brings all that was said
    Given 2 nodes and the replicas "a b"
    When a turn of 3 events is taken, each sent only once the one before has come
    Then it is whole, and its events are those of the replica
    And the next turn's body is all that was said and its own input, at the node that took the first
    And so it is at a node that has seen none of it
    And so it is when another program goes on from there, and again from that

  Scenario Outline: a stream that must not run twice and breaks ("<act>") never looks complete
    Given 1 node and the replicas "a b"
    And the replicas will in turn "<act>"
    When the turn "t1" is taken
    Then the answer is 200 and cut short
    And it ran 1 times
    And a turn that continues it is answered 404

    Examples:
      | act     |
      | break 2 |
      | tear 2  |
      | half 2  |
      | break 0 |

  Scenario Outline: a stream that may be resumed is taken up after "<acts>" with one head and no event lost
    Given 1 node and the replicas "a b c"
    And the replicas will in turn "<acts>"
    When "/line/x" is asked
    Then the answer is 200 and whole, with the head of the first replica
    And its events are 1 to 5, each once
    And it ran <runs> times, each from where the one before broke off

    Examples:
      | acts                       | runs |
      | break 2, stream 5          | 2    |
      | tear 2, stream 5           | 2    |
      | break 0, stream 5          | 2    |
      | half 2, stream 5           | 2    |
      | break 5, stream 5          | 2    |
      | break 1, tear 2, stream 5  | 3    |
      | break 2, full, stream 5    | 2    |
      | reset, stream 5            | 2    |

  Scenario Outline: events that come together with the break ("<act>") are neither lost nor doubled
    Given 1 node and the replicas "a b c"
    And the replicas will in turn "<act>, stream 5"
    When "/line/x" is asked
    Then the answer is 200 and whole, with the head of the first replica
    And its events are 1 to 5, each once
    Given the replicas will in turn "<act>"
    When the turn "t1" is taken
    Then the answer is 200 and cut short
    And its events are the first of those of the replica, and only they have been charged

    Examples:
      | act     |
      | burst 1 |
      | burst 3 |

  Scenario: a caller that resumes says from where
    Given 1 node and the replicas "a"
    And the replicas will in turn "stream 5"
    When "/line/x" is asked after event 3
    Then its events are 4 to 5, each once

  # ---- turned away, failed, lost

  Scenario Outline: what one replica turns away goes to another, and 503 is said only if nothing ran: <path>
    Given 1 node and the replicas "a b"
    And the replicas will in turn "full"
    When "<path>" is asked
    Then the answer is 200
    And it ran 1 times
    Given the replicas will in turn "full, full, full, full, full, full"
    When "<path>" is asked
    Then the answer is 503 with a time to come back
    And it ran 0 times

    Examples:
      | path     |
      | /any/x   |
      | /once/x  |
      | /keyed/x |
      | /turn/x  |
      | /line/x  |

  Scenario Outline: a <status> that does not say "not run" is passed on as no promise: <path>
    Given 1 node and the replicas "a b"
    And the replicas will in turn "status <status>"
    When "<path>" is asked
    Then the answer is 502
    And it ran 1 times

    Examples:
      | path     | status |
      | /once/x  | 503    |
      | /once/x  | 429    |
      | /once/x  | 408    |
      | /keyed/x | 503    |
      | /turn/x  | 503    |
      | /turn/x  | 429    |

  Scenario Outline: what may be repeated is run elsewhere after "<acts>"
    Given 1 node and the replicas "a b"
    And the replicas will in turn "<acts>"
    When "/any/x" is asked
    Then the answer is 200
    And it ran 2 times

    Examples:
      | acts       |
      | status 503 |
      | status 500 |
      | reset      |
      | close      |
      | short      |
      | garbage    |
      | silent     |

  Scenario Outline: what may be repeated is no refusal once an attempt may have run: "<acts>"
    Given 1 node and the replicas "a b"
    And the replicas will in turn "<acts>"
    When "/any/x" is asked
    Then the answer is 502
    And it ran 1 times

    Examples:
      | acts                    |
      | reset, full, full, full |
      | status 503, full, full  |

  Scenario Outline: what must not be repeated is 502 after "<act>" and has run once: <path>
    Given 1 node and the replicas "a b"
    And the replicas will in turn "<act>"
    When "<path>" is asked
    Then the answer is 502
    And it ran 1 times

    Examples:
      | path     | act     |
      | /once/x  | reset   |
      | /once/x  | close   |
      | /once/x  | short   |
      | /once/x  | garbage |
      | /keyed/x | reset   |
      | /turn/x  | reset   |
      | /turn/x  | close   |
      | /turn/x  | garbage |

  Scenario: a silent replica is waited for until the deadline, and its request is not sent again
    Given 1 node and the replicas "a b"
    And the replicas will in turn "silent"
    When "/once/x" is asked with 400 ms
    Then the answer is 504
    And it ran 1 times

  Scenario: a replica that cannot be connected to costs nothing where another is
    Given 1 node and the replicas "a b"
    And the replica "a" does not listen
    When "/once/x" is asked 6 times
    Then each got its own answer
    Given the replica "b" does not listen
    When "/once/x" is asked
    Then the answer is 503 with a time to come back
    And it ran 0 times

  Scenario: a stream that its deadline ends does not look complete
    Given 1 node and the replicas "a b"
    And the replicas will in turn "paced 3"
    When "/turn/x" is asked with 400 ms
    Then the caller gets no whole answer
    And the replica's stream is cut

  Scenario: where no other replica is, a slow one is waited for although its request may be repeated
    Given 1 node and the replicas "a"
    When the only replica takes longer than usual for "/any/x", and then answers
    Then the answer is 200
    And it ran 1 times

  Scenario: where no other replica is, its own 500 is passed on although its request may be repeated
    Given 1 node and the replicas "a"
    And the replicas will in turn "status 500"
    When "/any/x" is asked
    Then the answer is 500
    And it ran 1 times

  Scenario: a replica's own 500 is passed on as it was
    Given 1 node and the replicas "a b"
    And the replicas will in turn "status 500"
    When "/once/x" is asked
    Then the answer is 500
    And it ran 1 times

  Scenario: a replica that ended while its connection rested costs nothing
    Given 1 node and the replicas "a"
    And the replicas will in turn "leave"
    When "/once/x" is asked
    And "/once/x" is asked
    Then the answer is 200
    And it ran 1 times

  # ---- keyed

  Scenario: a repeat through another node gets the first answer, whatever it was
    Given 2 nodes and the replicas "a b"
    When a keyed request is asked at node 1 and again at node 2 and at node 1
    Then all three have one status, body, type and signature, and it ran once
    And the same for a replica's 500

  Scenario: a repeat while the first runs is 409, and other keys run
    Given 2 nodes and the replicas "a b"
    When a keyed request is held at its replica and repeated at both nodes
    Then the repeats are 409 and another key is 200
    And the first is answered, and later repeats get that answer

  Scenario: of many tries at once with one key one runs
    Given 2 nodes and the replicas "a b"
    When 12 tries with one key are sent at once to both nodes
    Then one ran, and each is answered with that run or 409

  Scenario: a keyed request whose caller has left is seen through, and its repeat gets the answer
    Given 2 nodes and the replicas "a b"
    When the caller of a keyed request leaves while it runs
    Then its repeat gets the answer of that run

  Scenario Outline: a keyed request that may have run is never run again: <act>
    Given 2 nodes and the replicas "a b"
    And the replicas will in turn "<act>"
    When a keyed request is lost
    Then its repeats are 409 at first and 502 after half a minute, and it ran once

    Examples:
      | act               |
      | status 503        |
      | short             |
      | garbage           |
      | full, reset       |

  Scenario: a keyed request that was refused runs on its next try
    Given 2 nodes and the replicas "a b"
    And the replicas will in turn "full, full, full, full"
    When a keyed request is refused
    Then its next try at the other node runs, and runs once

  Scenario: a keyed request whose end is unknown never runs again
    Given 2 nodes and the replicas "a b"
    And the replicas will in turn "reset"
    When a keyed request is lost
    Then its repeats are 409 at first and 502 after half a minute, and it ran once

  Scenario: a keyed request is not run while its store is away, and runs once it is back
    Given 2 nodes and the replicas "a b"
    And every part is away
    When a keyed request is refused
    Then nothing ran
    Given every part is back
    Then its next try at the other node runs, and runs once

  Scenario: a lost return of the store neither runs a keyed request twice nor refuses it
    Given 2 nodes and the replicas "a b"
    And the returns of "once_begin, once_end" are lost once
    When a keyed request is asked at node 1 and again at node 2 and at node 1
    Then all three have one status, body, type and signature, and it ran once

  # ---- surplus answers

  Scenario Outline: a surplus answer ("<acts>") reaches no caller
    Given 1 node and the replicas "a"
    And the replicas will in turn "<acts>"
    When "<path>" is asked 4 times
    Then each got its own answer

    Examples:
      | acts                  | path    |
      | surplus               | /once/x |
      | answer, late          | /once/x |
      | late, late, surplus   | /once/x |
      | surplus, late         | /any/x  |

  Scenario Outline: a surplus answer ("<acts>") gets into no stream
    Given 1 node and the replicas "a"
    And the replicas will in turn "<acts>"
    When "/turn/x" is asked 3 times
    Then each got its own stream

    Examples:
      | acts                              |
      | stream 3, latestream, stream 3    |
      | more, stream 3, stream 3          |
      | more, latestream, more            |

  Scenario Outline: an answer that does not say whose it is, or is reset before its end, is none: <act>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When "/once/x" is asked with 600 ms
    Then the answer is no success
    And it ran 1 times

    Examples:
      | act       |
      | bare      |
      | broken 0  |
      | broken 50 |

  # ---- budgets

  Scenario: a spent budget is told as such, and nothing runs
    Given 2 nodes and the replicas "a b"
    When turns of 30 tokens are taken at both nodes until the budget of 60 is spent
    Then the next is 429 at both nodes, and did not run

  Scenario: turns at once never put out more than the budget and one turn
    Given 2 nodes and the replicas "a b c"
    When 10 turns of 50 tokens with a budget of 100 are taken at once at both nodes
    Then no more than 150 tokens were given, and those refused did not run

  Scenario: what a broken turn has given counts
    Given 2 nodes and the replicas "a b"
    And the replicas will in turn "break 3"
    When the turn "t1" is taken with a budget of 30
    Then the answer is 200 and cut short
    And the next is 429 at both nodes, and did not run

  Scenario: a turn that certainly did not run gives back what it held
    Given 1 node and the replicas "a b"
    And the replicas will in turn "full, full, full, full"
    When the turn "t1" is taken with a budget of 30
    Then the answer is 503 with a time to come back
    And the budget is whole again

  # ---- turns that are not there, stores that are away

  Scenario: an unknown turn is 404 only if every part says so
    Given 1 node and the replicas "a"
    When a turn after an unknown one is asked
    Then the answer is 404
    And nothing ran
    And with any one part away it is 503, and nothing ran

  Scenario: with its store away a turn is refused before it is sent
    Given 1 node and the replicas "a"
    And every part is away
    When the turn "t1" is taken
    Then the answer is 503 with a time to come back
    And nothing ran
    Given every part is back
    When the turn "t2" is taken
    Then the answer is 200

  Scenario: lost returns of the store and parts that moved neither double nor lose a turn
    Given 2 nodes and the replicas "a b"
    And the returns of "turn_begin, turn_end" are lost once
    And every part has moved
    When the turn "t1" is taken
    Then the answer is 200
    And it ran 1 times
    And the turn "t1" has cost 30 tokens and can be continued at node 2

  Scenario: a turn that could not be kept never looks complete
    Given 1 node and the replicas "a"
    When the store goes away while a turn runs
    Then its events came, but not its end

  # ---- leaving, callers that leave, replicas that leave

  Scenario: a node that drains says so at once and sees all through
    Given 1 node and the replicas "a b"
    When the node drains while a stream runs
    Then it is not ready at once
    And a new request is served, and its connection closed
    And the stream ends whole, and then the node is drained

  Scenario Outline: a node that stops answers a request whose replica is silent, route <route>
    Given 1 node and the replicas "a"
    When the node stops within <ms> ms while "<path>" waits for a silent replica
    Then the request has a whole answer of status <status> before the node has stopped

    Examples:
      | route | path     | ms   | status |
      | any   | /any/x   | 3600 | 504    |
      | once  | /once/x  | 3600 | 504    |
      | keyed | /keyed/x | 3600 | 504    |
      | turn  | /turn/x  | 3600 | 504    |

  Scenario: a request that comes shortly before a node has stopped is answered as well
    Given 1 node and the replicas "a"
    When "/once/x" comes 3000 ms after a node with a silent request under way was told to stop within 3600 ms
    Then the request has a whole answer of status 504 before the node has stopped

  Scenario Outline: a change that takes a class away while work of it is under way, <moment>
    Given 1 node and the replicas "a b"
    When a policy without the class of its routes comes <moment>
    Then the request has an answer, and the node serves the next one

    Examples:
      | moment                               |
      | while its request waits at a replica |
      | as its request arrives               |
      | while its key is claimed             |

  Scenario: a caller that leaves cuts the replica's stream
    Given 1 node and the replicas "a"
    When a caller leaves in the middle of a stream
    Then the replica's stream is cut, and the turn is not kept

  Scenario: a caller that leaves before the first event cuts it as well
    Given 1 node and the replicas "a"
    When a caller leaves before the first event
    Then the replica's stream is cut

  Scenario Outline: a replica that is <how> in the list gets nothing new
    Given 1 node and the replicas "a b"
    And the replica "a" is <how>
    When "/any/x" is asked 12 times
    Then each got its own answer
    And all ran at "b"

    Examples:
      | how      |
      | draining |
      | gone     |

  Scenario: at a reused address another life is never counted as run
    Given 1 node and the replicas "a"
    And another life has taken the address of "a"
    When "/once/x" is asked
    Then the answer is 503 with a time to come back
    And nothing ran
    And the replica has turned it away
