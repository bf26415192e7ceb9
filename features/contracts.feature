Feature: Contracts that every transport, disk and clock must pass

  Scenario Outline: the transport over <kind>
    Given a pair of processes over "<kind>"
    Then a reply reaches the caller
    And each of many concurrent calls gets its own reply
    And a fault reaches the caller with its code, text and findings
    And a call to an address without a listener fails with "unreachable"
    And a call without a reply in time fails with "slow"
    And a call whose peer is killed before the reply fails with "lost"
    And a message that is not of the type of its kind fails with "garbled"
    And a message that the handler fails on fails with "internal"
    And a message that cannot be encoded fails with "garbled", and the next call gets its reply
    And a reply that cannot be encoded reaches the caller as the fault "internal"

    Examples:
      | kind |
      | tcp  |
      | sim  |

  Scenario Outline: the disk of <kind>
    Given a disk of "<kind>"
    Then synced writes survive a kill
    And a write that is not synced yet survives a kill whole or not at all
    And a part can be emptied and a row deleted
    And a row that cannot be encoded fails its write with "disk"

    Examples:
      | kind   |
      | sqlite |
      | sim    |

  Scenario Outline: HTTP over <kind>
    Given a web server over "<kind>"
    Then lines arrive in order, then the end of the response
    And a response that breaks off ends with "lost"
    And a request to an address without a server ends with "unreachable"
    And the server sees at once that a client disconnected

    Examples:
      | kind |
      | curl |
      | sim  |

  Scenario: invalid bytes on a connection change nothing
    Given a pair of processes over "tcp"
    When a client sends bytes that do not begin with the protocol's magic number
    And a peer sends a frame that holds no message
    Then the connections are closed and counted
    And a reply reaches the caller

  Scenario: a data folder that cannot be trusted is refused
    Given a disk of "sqlite"
    Then a second process that opens the folder gets no rows while the first has it, and all of them after that
    And a corrupt database is refused with "disk"
    And a missing folder is refused with "disk"

  Scenario: a connection without replies is closed, and the next call opens another
    Given a process whose first connection is dead without either end knowing it
    When it is called repeatedly with a timeout of 0.2 seconds
    Then the first call times out, a later one gets a reply, and the process was reached over a second connection
