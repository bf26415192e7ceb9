@processes
Feature: A back end that sends bytes without end takes neither the memory nor the processor of others

  Real processes, started as the deploy file says, with the limits of the pages. For some seconds 24 callers keep asking
  a service of three replicas, each of which answers with bytes without end until its connection is closed. One more
  caller asks a sound service of two replicas through the same routing node.

  # Guards against a routing node that is killed for its memory, or serves nobody else, because of what one back end sends.
  Scenario Outline: <kind>, on a route that is <route>
    Given a routing node with 260 MB, a sound service, and one whose replicas send "<kind>"
    When 24 callers ask the faulty service for 7 s, on a route that is <route>
    Then the routing node has never held more than its limit
    And every sound caller had its answer within the aim of 250 ms, but for one in twenty
    And every caller of the faulty service had an end within its deadline and a second
    And the routing node used less than half of a core
    And the routing node runs, and has not failed

    Examples:
      | kind                            | route        |
      | event in one line               | streaming    |
      | event in many lines             | streaming    |
      | event until the connection ends | streaming    |
      | event in one line               | resumable    |
      | whole events                    | streaming    |
      | whole events                    | retained     |
      | body in chunks                  | idempotent   |
      | body in chunks                  | keyed        |
      | body until the connection ends  | idempotent   |
      | body with a length of 60 MB     | idempotent   |
      | body in chunks of a byte        | idempotent   |
      | surplus answers                 | idempotent   |
      | noise after a sound answer      | idempotent   |
      | noise                           | streaming    |
      | header line                     | idempotent   |
      | header lines                    | idempotent   |
      | interim answers                 | idempotent   |
      | impossible length               | idempotent   |
      | impossible chunk                | idempotent   |
      | chunk extension                 | idempotent   |
      | head byte by byte               | idempotent   |
      | event byte by byte              | streaming    |
      | body byte by byte               | idempotent   |

  # Guards against processes that are killed for their memory by the platform's list.
  Scenario Outline: the platform's list is <kind>
    Given a routing node with 260 MB, a sound service, and one whose replicas send "noise"
    And a limit of 296 MB for each core of that fleet
    When the platform's list sends "<kind>" for 7 s
    Then the routing node has never held more than its limit
    And no core has ever held more than its limit
    And every sound caller had its answer within the aim of 250 ms, but for one in twenty
    And the routing node used less than half of a core
    And the routing node runs, and has not failed

    Examples:
      | kind                           |
      | body until the connection ends |
      | body in chunks                 |
      | body with a length of 60 MB    |
      | body byte by byte              |
      | pages without end              |
      | header lines                   |
