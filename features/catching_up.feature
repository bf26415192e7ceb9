Feature: A copy that is behind catches up, and no copy answers with what only one disk holds

  # State machines of three members; the steps deliver, delay or drop each message, and sync or stall each disk.

  Scenario: the one backup that a batch of many changes has not reached gets it from the restarted primary
    Given members "a,b,c" of a partition with the replica set "a,b,c"
    When 100 changes are sent in one batch that "a" does not sync and "c" does not receive
    And "a" loses its power and starts again
    Then "a" serves within 3 seconds and "a,b,c" hold the same 101 changes

  # Guards against a core whose memory grows by 64 copies of a large configuration as it is changed (issue 37).
  Scenario: what members keep of confirmed changes is bounded in memory
    Given members "a,b,c" of a partition with the replica set "a,b,c"
    When 100 changes of 1000 kilobytes each are made one after another
    Then no member keeps more than 8 of them besides its rows

  Scenario: a primary behind a backup that has no log takes its rows
    Given members "a,b,d" of a partition with the replica set "a,b"
    When a change does not reach "b", and "a" meanwhile reconfigures the partition to "b,d"
    Then "b" serves within 3 seconds and "b,d" hold the same 301 changes

  Scenario: a backup behind a primary that has no log gets its rows
    Given members "a,b,d" of a partition with the replica set "a,b"
    When a change does not reach "b", and "a" meanwhile reconfigures the partition to "d,b"
    Then "d" serves within 3 seconds and "d,b" hold the same 301 changes

  Scenario: a backup whose disk lost what it had synced gets the rows, also while a batch is unconfirmed
    Given members "a,b" of a partition with the replica set "a,b"
    When 300 changes are made, the disk of "b" loses the last 200 of them, and one more is not confirmed yet
    Then "a" serves within 3 seconds and "a,b" hold the same 301 changes

  Scenario Outline: a transfer of rows is interrupted by a loss of power of "<who>" and starts again
    Given members "a,b,d" of a partition with the replica set "a,b"
    When a change does not reach "b", and "a" meanwhile reconfigures the partition to "<set>"
    And "<who>" loses its power in the middle of the transfer
    Then "<primary>" serves within 6 seconds and "b,d" hold the same 301 changes

    Examples:
      | set | primary | who |
      | b,d | b       | b   |
      | b,d | b       | d   |
      | d,b | d       | b   |
      | d,b | d       | d   |

  Scenario Outline: a change that waits for the disk of "<who>" is answered only once it is synced there
    Given members "a,b,c" of a partition with the replica set "a,b,c"
    When a change is made that "<who>" does not sync and "c" does not receive
    And the partition is granted to "a,b"
    Then the change is not answered within 3 seconds
    When the disk of "<who>" takes writes again
    Then the change is answered within 1 second, and "a,b" hold it on disk

    Examples:
      | who |
      | a   |
      | b   |
