@processes
Feature: A process holds no more than its memory limit, whatever others send

  Real processes, started as the deploy file says, with the limits of the pages. A replica that works for a second
  keeps each request that long.

  # Guards against a routing node that is killed for its memory: what it held was bounded in requests, not in bytes.
  Scenario Outline: a routing node with <limit> MB serves or refuses 150 callers with <traffic>
    Given a fleet whose routing node may have <limit> MB, and a replica with <slots> slots
    When 150 callers at once send it requests with <traffic>
    Then each has a whole answer, 200 or 503, and some have 200
    And the routing node has never held more than its limit
    And a small request is answered 200 after that

    Examples:
      | limit | slots | traffic                                         |
      | 260   | 16    | bodies of 4 MB                                  |
      | 260   | 16    | bodies of 4 MB in sixteen pieces 0.4 s apart    |
      | 260   | 16    | bodies of 4 MB in chunks, without their length  |
      | 260   | 150   | answers of 4 MB                                 |
      | 260   | 150   | answers of 4 MB that the callers read slowly    |

  # Guards against a core that is killed for its memory by changes of a large configuration.
  Scenario: a core with 296 MB bears 40 changes of a configuration with 5000 routes
    Given a deployment of three cores and three stores
    And a limit of 296 MB for each core
    When a configuration with 5000 routes is changed 40 times
    Then no core has ever held more than its limit

  # Guards against a store that is killed for its memory by the rows of work that it has taken.
  Scenario: a store whose tables are as large as its memory allows refuses new work until rows are deleted
    Given a store with 80 MB whose disk holds 20 MB of rows of 5000 bytes
    When it gets a command of each kind
    Then those that begin new work are refused with "store_away", and all others are passed on
    When half of its rows are deleted
    Then all commands are passed on

  # Guards against stores that refuse new work while they have memory: half of all turns on machines of 100 MB.
  Scenario Outline: a store with <limit> MB takes new work beside <size> MB of rows of <row> bytes, and bears them
    Given a store with <limit> MB whose disk holds <size> MB of rows of <row> bytes
    When it gets a command of each kind
    Then all commands are passed on
    And a store process with that limit that starts with those rows has never held more

    Examples:
      | limit | size | row  |
      | 100   | 20   | 1100 |
      | 100   | 20   | 5000 |
      | 100   | 8    | 150  |
      | 150   | 36   | 1100 |
      | 290   | 100  | 5000 |

  # Guards against a routing node that is killed for its memory by many events that are not complete yet.
  Scenario: what a stream holds of an event that is not complete is counted, until the stream ends
    Given a stream of which 100 KB of one event have come
    Then 100 KB are reserved for its pool
    When the event is complete
    Then 0 KB are reserved for its pool
    When 100 KB of another event have come and the stream breaks
    Then 0 KB are reserved for its pool

  # Guards against a process that is killed for its memory by messages of other processes.
  Scenario Outline: <machine> with 260 MB bears <count> links that send messages of <size> MB
    Given a deployment of one core, one store and one routing node
    And a limit of 260 MB for <machine>, which has started
    When <count> links each send it a message of <size> MB, all but its last byte
    Then it has never held more than its limit
    And it ends with code 0 on SIGTERM

    Examples:
      | machine   | count | size |
      | core-1    | 20    | 30   |
      | storage-1 | 20    | 30   |
      | edge-1    | 20    | 30   |
