Feature: A routing node that stops completes or refuses every request

  Callers go on using their connections after a stop signal. A request that the node takes is answered whole before
  it has stopped; one that may not end in time is refused, so that it can run elsewhere.

  # Guards against LOST: a stream was taken seconds after the stop signal and cut as the node ended (issue 37).
  Scenario Outline: a request that comes late in a stop and may outlast it is refused, route <route>
    Given 1 node and the replicas "a"
    When "<path>" is sent on a kept connection 3000 ms after a busy node was told to stop within 5000 ms
    Then it is refused with status 503 and has not run
    And the node answers its earlier request before it has stopped

    Examples:
      | route | path     |
      | any   | /any/x   |
      | once  | /once/x  |
      | keyed | /keyed/x |
      | turn  | /turn/x  |
      | line  | /line/x  |

  Scenario Outline: a request that comes late in a stop and ends in time is served, route <route>
    Given 1 node and the replicas "a"
    When "<path>" with 1000 ms to run is sent on a kept connection 3000 ms after a busy node was told to stop within 5000 ms
    Then it is served, and its connection closed
    And the node answers its earlier request before it has stopped

    Examples:
      | route | path     |
      | any   | /any/x   |
      | once  | /once/x  |
      | keyed | /keyed/x |
      | turn  | /turn/x  |

  # Guards against LOST: requests reached a stopping node on idle connections until its last moment (issue 37).
  Scenario: a stop closes idle connections and the listening address once callers have had time to leave
    Given 1 node and the replicas "a"
    When a busy node with idle connections was told to stop within 5000 ms, 3600 ms ago
    Then its idle connections are closed, and it takes no new ones
    And the node answers its earlier request before it has stopped
