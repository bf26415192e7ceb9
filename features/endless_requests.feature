@processes
Feature: Whoever sends requests or messages without end takes neither the memory nor the processor of others

  Real processes, started as the deploy file says, with the limits of the pages. Some connections send without end for 6 s,
  while one more asks the same process every 50 ms.

  # Guards against a process that is killed for its memory, or serves nobody else, because of what one peer sends.
  Scenario Outline: <count> connections send <kind> to the <port> address of <machine>
    Given a fleet whose <machine> may have 260 MB, and runs
    When <count> connections send <kind> to its <port> address for 6 s
    Then it has never held more than its limit
    And its other peer had every answer within 250 ms, but for one in twenty
    And it used less than <share> of a core
    And it ends with code 0 on SIGTERM

    Examples:
      | machine   | port     | count | kind                          | share |
      | core-1    | internal | 4     | small messages                | 0.95  |
      | storage-1 | internal | 4     | messages of 60 KB             | 0.95  |
      | edge-1    | internal | 4     | small messages                | 0.95  |
      | core-1    | internal | 24    | messages byte by byte         | 0.5   |
      | edge-1    | control  | 4     | a body in chunks of a byte    | 0.8   |
      | edge-1    | control  | 24    | a head byte by byte           | 0.5   |
      | edge-1    | control  | 24    | header lines                  | 0.8   |
