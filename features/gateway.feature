Feature: A gateway routes requests by host and path, and its answers never promise more than is certain

  # ---- forwarding

  Scenario: a request and its answer are forwarded unchanged
    Given 1 node and the replicas "a"
    When a request with a query, a binary body and custom headers is forwarded
    Then the replica got the request unchanged, and the caller got the answer unchanged
    And hop-by-hop headers were not forwarded

  Scenario: plain, chunked and pipelined requests on one connection each get their own answer
    Given 1 node and the replicas "a b"
    When a caller sends plain, chunked and pipelined requests on one connection
    Then each is answered in order, and the replicas ran exactly these

  Scenario Outline: a request with ambiguous framing is not forwarded: <kind>
    Given 1 node and the replicas "a"
    When a request with ambiguous framing is sent: <kind>
    Then it is refused or run as one request, and nothing else ran

    Examples:
      | kind                    |
      | a length and chunks     |
      | two lengths             |
      | a signed length         |
      | chunked twice           |
      | a space before a colon  |

  Scenario Outline: interim responses and responses without a body are handled: <act> to <method>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When a <method> request is sent
    Then the answer is <status> with only its own headers and body
    And the next request on the same connection gets its own answer

    Examples:
      | act       | method | status |
      | continue  | GET    | 200    |
      | empty 204 | GET    | 204    |
      | empty 304 | GET    | 304    |
      | empty 204 | POST   | 204    |

  Scenario: the route with the longest prefix of a host is taken, and no route is 404
    Given 1 node and the replicas "a"
    When "/none/x" is requested
    Then the answer is 404
    And nothing ran

  Scenario: without a lease nothing is sent
    Given 1 node and the replicas "a"
    And a node without a lease
    When "/once/x" is requested at node 2
    Then the answer is 503 with a Retry-After header
    And nothing ran

  Scenario: requests of a session stay with one pool of a split, and pools get requests by their weights
    Given 1 node and the replicas "a b"
    And the routes go to "a" and "b" by the weights 3 and 1
    When 200 sessions send two requests each
    Then each session stayed with one replica, and about a quarter went to "b"
    And with a weight of 0 none goes to "b"

  Scenario: without affinity each pool of a split gets its share of the requests, even with few sessions
    Given 2 nodes and the replicas "a b"
    And the routes go to "a" and "b" by the weights 3 and 1 without affinity
    When 4 sessions send 50 requests each
    Then the share of "b" is within 0.02 of 0.25

  Scenario: a policy that is applied while requests run takes effect for the next ones
    Given 1 node and the replicas "a"
    When a policy without the route is applied while a request runs
    Then that request is answered, and the next is 404

  # Guards against a number in a replica's answer that Python does not read, which ended the caller's request.
  Scenario Outline: a malformed number in a replica's answer is ignored: <header> <value>
    Given 1 node and the replicas "a"
    And the replica "a" sends the header "<header>" with "<value>"
    When "/once/x" is requested 2 times
    Then each was answered 200 and ran once

    Examples:
      | header         | value            |
      | X-Replica-Load | 1,\xb2,8          |
      | X-Replica-Load | 1,(5000 digits),8 |
      | X-Replica-Load | 1,-1,8           |
      | Keep-Alive     | timeout=\xb2      |
      | Keep-Alive     | timeout=(5000 digits) |

  Scenario Outline: event ids that are no short numbers are passed on: <ids>
    Given 1 node and the replicas "a"
    And the replica "a" numbers its events "<ids>"
    When the turn "t1" is run
    Then the answer is 200
    And its body has the events "<ids>"

    Examples:
      | ids                                 |
      | \xb2, \xb3, \xb9                    |
      | (5000 digits), (5001 digits), x     |

  # ---- turns

  Scenario: each event is forwarded at once, and the next turn gets the whole conversation
    Given 2 nodes and the replicas "a b"
    When a turn of 3 events is run, each sent only after the caller has the one before
    Then it is complete, and its events are those of the replica
    And the next turn's body is the conversation and its own input, at the node that ran the first
    And the same holds at a node that has seen none of it
    And the same holds when another program continues it, and continues that again

  Scenario Outline: a stream that must not run twice and breaks ("<act>") never looks complete
    Given 1 node and the replicas "a b"
    And the replicas will in turn "<act>"
    When the turn "t1" is run
    Then the answer is 200 and cut short
    And it ran 1 times
    And a turn that continues it is answered 404

    Examples:
      | act     |
      | break 2 |
      | tear 2  |
      | half 2  |
      | break 0 |

  Scenario Outline: a stream that may be resumed is resumed after "<acts>" with one set of headers and no event lost
    Given 1 node and the replicas "a b c"
    And the replicas will in turn "<acts>"
    When "/line/x" is requested
    Then the answer is 200 and complete, with the headers of the first replica
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

  Scenario Outline: events that arrive together with the end of the connection ("<act>") are neither lost nor duplicated
    Given 1 node and the replicas "a b c"
    And the replicas will in turn "<act>, stream 5"
    When "/line/x" is requested
    Then the answer is 200 and complete, with the headers of the first replica
    And its events are 1 to 5, each once
    Given the replicas will in turn "<act>"
    When the turn "t1" is run
    Then the answer is 200 and cut short
    And its events are the first of those of the replica, and only they have been charged

    Examples:
      | act     |
      | burst 1 |
      | burst 3 |

  Scenario: a caller may resume a stream from an event id
    Given 1 node and the replicas "a"
    And the replicas will in turn "stream 5"
    When "/line/x" is requested after event 3
    Then its events are 4 to 5, each once

  # ---- rejected, failed, lost

  Scenario Outline: a request that one replica rejects goes to another, and 503 is answered only if nothing ran: <path>
    Given 1 node and the replicas "a b"
    And the replicas will in turn "full"
    When "<path>" is requested
    Then the answer is 200
    And it ran 1 times
    Given the replicas will in turn "full, full, full, full, full, full"
    When "<path>" is requested
    Then the answer is 503 with a Retry-After header
    And it ran 0 times

    Examples:
      | path     |
      | /any/x   |
      | /once/x  |
      | /keyed/x |
      | /turn/x  |
      | /line/x  |

  Scenario Outline: a <status> of a replica that does not say "not run" is not forwarded as a promise: <path>
    Given 1 node and the replicas "a b"
    And the replicas will in turn "status <status>"
    When "<path>" is requested
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

  Scenario Outline: a repeatable request is run elsewhere after "<acts>"
    Given 1 node and the replicas "a b"
    And the replicas will in turn "<acts>"
    When "/any/x" is requested
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

  Scenario Outline: a repeatable request is not refused once an attempt may have run: "<acts>"
    Given 1 node and the replicas "a b"
    And the replicas will in turn "<acts>"
    When "/any/x" is requested
    Then the answer is 502
    And it ran 1 times

    Examples:
      | acts                    |
      | reset, full, full, full |
      | status 503, full, full  |

  Scenario Outline: a request that must not be repeated is 502 after "<act>" and has run once: <path>
    Given 1 node and the replicas "a b"
    And the replicas will in turn "<act>"
    When "<path>" is requested
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
    When "/once/x" is requested with 400 ms
    Then the answer is 504
    And it ran 1 times

  Scenario: a replica that refuses connections fails no request while another is available
    Given 1 node and the replicas "a b"
    And the replica "a" does not listen
    When "/once/x" is requested 6 times
    Then each got its own answer
    Given the replica "b" does not listen
    When "/once/x" is requested
    Then the answer is 503 with a Retry-After header
    And it ran 0 times

  Scenario: a stream that is ended by its deadline does not look complete
    Given 1 node and the replicas "a b"
    And the replicas will in turn "paced 3"
    When "/turn/x" is requested with 400 ms
    Then the caller gets no complete answer
    And the replica's stream is cut

  Scenario: without another replica, the gateway waits for a slow one even for a repeatable request
    Given 1 node and the replicas "a"
    When the only replica takes longer than usual for "/any/x", and then answers
    Then the answer is 200
    And it ran 1 times

  Scenario: without another replica, its own 500 is forwarded even for a repeatable request
    Given 1 node and the replicas "a"
    And the replicas will in turn "status 500"
    When "/any/x" is requested
    Then the answer is 500
    And it ran 1 times

  Scenario: a replica's own 500 is forwarded unchanged
    Given 1 node and the replicas "a b"
    And the replicas will in turn "status 500"
    When "/once/x" is requested
    Then the answer is 500
    And it ran 1 times

  Scenario: a replica that closed an idle connection fails no request
    Given 1 node and the replicas "a"
    And the replicas will in turn "leave"
    When "/once/x" is requested
    And "/once/x" is requested
    Then the answer is 200
    And it ran 1 times

  # ---- keyed operations

  Scenario: a repeat through another node gets the first answer, whatever it was
    Given 2 nodes and the replicas "a b"
    When a keyed request is sent to node 1, then to node 2 and to node 1 again
    Then all three have one status, body, type and signature, and it ran once
    And the same for a replica's 500

  Scenario: a repeat while the first runs is 409, and other keys run
    Given 2 nodes and the replicas "a b"
    When a keyed request is held at its replica and repeated at both nodes
    Then the repeats are 409 and another key is 200
    And the first is answered, and later repeats get that answer

  Scenario: of many concurrent attempts with one key one runs
    Given 2 nodes and the replicas "a b"
    When 12 attempts with one key are sent to both nodes at once
    Then one ran, and each is answered with that run or 409

  Scenario: a keyed request is completed after its caller has disconnected, and its repeat gets the answer
    Given 2 nodes and the replicas "a b"
    When the caller of a keyed request disconnects while it runs
    Then its repeat gets the answer of that run

  Scenario Outline: a keyed request that may have run is never run again: <act>
    Given 2 nodes and the replicas "a b"
    And the replicas will in turn "<act>"
    When a keyed request is answered 502
    Then its repeats are 409 at first and 502 after half a minute, and it ran once

    Examples:
      | act               |
      | status 503        |
      | short             |
      | garbage           |
      | full, reset       |

  Scenario: a keyed request that was refused runs on its next attempt
    Given 2 nodes and the replicas "a b"
    And the replicas will in turn "full, full, full, full"
    When a keyed request is refused
    Then its next attempt at the other node runs, and runs once

  Scenario: a keyed request whose outcome is unknown never runs again
    Given 2 nodes and the replicas "a b"
    And the replicas will in turn "reset"
    When a keyed request is answered 502
    Then its repeats are 409 at first and 502 after half a minute, and it ran once

  Scenario: a keyed request is not run while its store is unreachable, and runs afterwards
    Given 2 nodes and the replicas "a b"
    And every partition is unreachable
    When a keyed request is refused
    Then nothing ran
    Given every partition is reachable again
    Then its next attempt at the other node runs, and runs once

  Scenario: a lost reply of the store neither runs a keyed request twice nor refuses it
    Given 2 nodes and the replicas "a b"
    And the store replies to "once_begin, once_end" are lost once
    When a keyed request is sent to node 1, then to node 2 and to node 1 again
    Then all three have one status, body, type and signature, and it ran once

  # Guards against a caller that is answered 400 for an error of ours at a store.
  Scenario: a store's own error neither fails a keyed request nor runs it twice
    Given 2 nodes and the replicas "a b"
    And the store has an error of its own at "once_begin, once_end" once
    When a keyed request is sent to node 1, then to node 2 and to node 1 again
    Then all three have one status, body, type and signature, and it ran once

  # ---- unsolicited responses

  Scenario Outline: an unsolicited response ("<acts>") reaches no caller
    Given 1 node and the replicas "a"
    And the replicas will in turn "<acts>"
    When "<path>" is requested 4 times
    Then each got its own answer

    Examples:
      | acts                  | path    |
      | surplus               | /once/x |
      | answer, late          | /once/x |
      | late, late, surplus   | /once/x |
      | surplus, late         | /any/x  |

  Scenario Outline: an unsolicited response ("<acts>") gets into no stream
    Given 1 node and the replicas "a"
    And the replicas will in turn "<acts>"
    When "/turn/x" is requested 3 times
    Then each got its own stream

    Examples:
      | acts                              |
      | stream 3, latestream, stream 3    |
      | more, stream 3, stream 3          |
      | more, latestream, more            |

  Scenario Outline: a response without a request id, or reset before its end, is not forwarded: <act>
    Given 1 node and the replicas "a"
    And the replicas will in turn "<act>"
    When "/once/x" is requested with 600 ms
    Then the answer is no success
    And it ran 1 times

    Examples:
      | act       |
      | bare      |
      | broken 0  |
      | broken 50 |

  # ---- budgets

  Scenario: a spent budget is answered 429, and nothing runs
    Given 2 nodes and the replicas "a b"
    When turns of 30 tokens are run at both nodes until the budget of 60 is spent
    Then the next is 429 at both nodes, and did not run

  Scenario: concurrent turns never exceed the budget by more than one turn
    Given 2 nodes and the replicas "a b c"
    When 10 turns of 50 tokens with a budget of 100 are run at once at both nodes
    Then no more than 150 tokens were delivered, and the refused turns did not run

  Scenario: the delivered tokens of a broken turn are charged
    Given 2 nodes and the replicas "a b"
    And the replicas will in turn "break 3"
    When the turn "t1" is run with a budget of 30
    Then the answer is 200 and cut short
    And the next is 429 at both nodes, and did not run

  Scenario: a turn that did not run releases its reserved tokens
    Given 1 node and the replicas "a b"
    And the replicas will in turn "full, full, full, full"
    When the turn "t1" is run with a budget of 30
    Then the answer is 503 with a Retry-After header
    And the whole budget is available again

  # ---- unknown turns, unreachable stores

  Scenario: an unknown turn is 404 only if every partition says so
    Given 1 node and the replicas "a"
    When a turn that continues an unknown one is requested
    Then the answer is 404
    And nothing ran
    And with any one partition unreachable it is 503, and nothing ran

  Scenario: a turn is refused before it is sent while its store is unreachable
    Given 1 node and the replicas "a"
    And every partition is unreachable
    When the turn "t1" is run
    Then the answer is 503 with a Retry-After header
    And nothing ran
    Given every partition is reachable again
    When the turn "t2" is run
    Then the answer is 200

  Scenario: lost replies of the store and moved partitions neither duplicate nor lose a turn
    Given 2 nodes and the replicas "a b"
    And the store replies to "turn_begin, turn_end" are lost once
    And every partition has moved to another primary
    When the turn "t1" is run
    Then the answer is 200
    And it ran 1 times
    And the turn "t1" has cost 30 tokens and can be continued at node 2

  Scenario: a turn that could not be retained never looks complete
    Given 1 node and the replicas "a"
    When the store becomes unreachable while a turn runs
    Then its events arrived, but not the end of the stream

  # ---- draining, disconnected callers, removed replicas

  Scenario: a draining node reports it at once and completes all requests
    Given 1 node and the replicas "a b"
    When the node drains while a stream runs
    Then it reports at once that it is not ready
    And a new request is served, and its connection closed
    And the stream is completed, and then the node is drained

  Scenario Outline: a node that stops answers a request whose replica is silent, route <route>
    Given 1 node and the replicas "a"
    When the node stops within <ms> ms while "<path>" waits for a silent replica
    Then the request has a complete answer of status <status> before the node has stopped

    Examples:
      | route | path     | ms   | status |
      | any   | /any/x   | 3600 | 504    |
      | once  | /once/x  | 3600 | 504    |
      | keyed | /keyed/x | 3600 | 504    |
      | turn  | /turn/x  | 3600 | 504    |

  Scenario Outline: a request that arrives shortly before a node has stopped is answered as well, after <after> ms
    Given 1 node and the replicas "a"
    When "/once/x" is requested <after> ms after a node with an unanswered request was told to stop within 3600 ms
    Then the request has a complete answer of status <status> before the node has stopped
    And it was sent to <runs> replicas

    Examples:
      | after | status | runs |
      | 2500  | 504    | 1    |
      | 3000  | 503    | 0    |

  Scenario Outline: a class is removed while a request of it is in progress, <moment>
    Given 1 node and the replicas "a b"
    When a policy without the class of its routes is applied <moment>
    Then the request has an answer, and the node serves the next one

    Examples:
      | moment                               |
      | while its request waits at a replica |
      | as its request arrives               |
      | while its key is claimed             |

  Scenario: a disconnected caller cuts the replica's stream
    Given 1 node and the replicas "a"
    When a caller disconnects in the middle of a stream
    Then the replica's stream is cut, and the turn is not retained

  Scenario: a caller that disconnects before the first event cuts it as well
    Given 1 node and the replicas "a"
    When a caller disconnects before the first event
    Then the replica's stream is cut

  Scenario Outline: a replica that is <how> in the listing gets no new request
    Given 1 node and the replicas "a b"
    And the replica "a" is <how>
    When "/any/x" is requested 12 times
    Then each got its own answer
    And all ran at "b"

    Examples:
      | how      |
      | draining |
      | gone     |

  Scenario: a request that reaches another process at a reused address counts as not run
    Given 1 node and the replicas "a"
    And another replica process has taken the address of "a"
    When "/once/x" is requested
    Then the answer is 503 with a Retry-After header
    And nothing ran
    And the replica has rejected it
