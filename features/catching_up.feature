Feature: A copy that is behind catches up, and none returns what only one disk holds

  # Pure reducers of three members; the steps deliver, hold or drop each message, and sync or stall each disk.

  Scenario: the one backup that a batch of many changes has not reached gets it from the restarted primary
    Given members "a,b,c" of a part with the replica set "a,b,c"
    When 100 changes fly in one batch that "a" does not sync and "c" does not get
    And "a" loses its power and starts again
    Then "a" serves within 3 seconds and "a,b,c" hold the same 101 changes

  Scenario: a primary behind a backup that has no log takes its rows
    Given members "a,b,d" of a part with the replica set "a,b"
    When a change does not reach "b", and "a" leads the part to "b,d" meanwhile
    Then "b" serves within 3 seconds and "b,d" hold the same 301 changes

  Scenario: a backup behind a primary that has no log gets its rows
    Given members "a,b,d" of a part with the replica set "a,b"
    When a change does not reach "b", and "a" leads the part to "d,b" meanwhile
    Then "d" serves within 3 seconds and "d,b" hold the same 301 changes

  Scenario: a backup whose disk lost what it had synced gets the rows, also while a batch is in the air
    Given members "a,b" of a part with the replica set "a,b"
    When 300 changes are made, the disk of "b" goes back by 200 of them, and one more is under way
    Then "a" serves within 3 seconds and "a,b" hold the same 301 changes

  Scenario Outline: a transfer of rows is broken off by a loss of power of "<who>" and begins again
    Given members "a,b,d" of a part with the replica set "a,b"
    When a change does not reach "b", and "a" leads the part to "<set>" meanwhile
    And "<who>" loses its power in the middle of the transfer
    Then "<primary>" serves within 6 seconds and "b,d" hold the same 301 changes

    Examples:
      | set | primary | who |
      | b,d | b       | b   |
      | b,d | b       | d   |
      | d,b | d       | b   |
      | d,b | d       | d   |

  Scenario Outline: what waits for the disk of "<who>" is returned for only once it is synced there
    Given members "a,b,c" of a part with the replica set "a,b,c"
    When a change is under way that "<who>" does not sync and "c" does not get
    And the part is given to "a,b"
    Then the change is not returned for within 3 seconds
    When the disk of "<who>" takes writes again
    Then the change is returned for within 1 second, and "a,b" hold it on disk

    Examples:
      | who |
      | a   |
      | b   |
