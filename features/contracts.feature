Feature: Contracts that every transport, disk and clock must pass

  Scenario Outline: the net over <kind>
    Given a pair of processes over "<kind>"
    Then a return comes back to the one that asked
    And many asks at once each get their own return
    And a fault crosses with its code, text and findings
    And nobody listening is told as "unreachable"
    And no return in time is told as "slow"
    And a peer that ends in the middle is told as "lost"
    And a message the handler cannot read is told as "garbled"

    Examples:
      | kind |
      | tcp  |
      | sim  |

  Scenario Outline: the disk of <kind>
    Given a disk of "<kind>"
    Then what was written is there after a kill
    And what was not yet synced may be lost but is never half there
    And a part can be emptied and a row taken out

    Examples:
      | kind   |
      | sqlite |
      | sim    |

  Scenario Outline: the web over <kind>
    Given a web server over "<kind>"
    Then lines arrive in order and the end is told
    And an answer that breaks off is told as "lost"
    And nobody serving is told as "unreachable"
    And a caller that cuts is seen by the server at once

    Examples:
      | kind |
      | curl |
      | sim  |

  Scenario: strangers on the wire change nothing
    Given a pair of processes over "tcp"
    When a stranger sends bytes that are no greeting
    And a peer sends a frame that is no message
    Then both links are closed and counted
    And a return comes back to the one that asked

  Scenario: a data folder that cannot be trusted is refused
    Given a disk of "sqlite"
    Then a second process on the folder is refused with "disk"
    And a torn file is refused with "disk"
    And a missing folder is refused with "disk"

  Scenario: a link on which nothing comes back is given up, and the next ask makes another
    Given a process whose first link is dead without either end knowing it
    When it is asked again and again, 0.2 seconds each
    Then the first ask is slow, a later one is returned, and the process was reached over a second link
