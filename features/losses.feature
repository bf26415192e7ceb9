Feature: A second loss after a repair, a replacement or a leaving takes nothing that was acknowledged

  Scenario Outline: a leaving store is completed only when every partition has all copies elsewhere, <stores> stores, <moment>, seed <seed>
    Given the deployment "cartalume" with <stores> stores and 3 cores that tolerates 1 losses, seed <seed>
    When a store is to be retired, and another loses its power for 5 seconds <moment>
    Then it is completed, and whenever it was, every partition had 2 copies on other live stores
    And once completed it stays completed
    And the register has a confirmed majority without it

    Examples:
      | stores | moment                    | seed |
      | 3      | at once                   | 31   |
      | 4      | at once                   | 32   |
      | 3      | when the first is emptied | 33   |
      | 4      | when the first is emptied | 34   |

  Scenario: on the core's table, a store is not completed while a partition has one copy elsewhere
    Given a core whose table holds a retiring store, two others, and a partition with one copy on one of these
    Then the store is not completed
    When the partition is given its second copy
    Then the store is completed
    When the partition is left with one copy again
    Then the store is completed

  Scenario Outline: a store loses its disk right after another was taken away, seed <seed>
    Given the deployment "cartalume" with 4 stores and 3 cores that tolerates 1 losses, seed <seed>
    When a store is retired and taken away, and another loses its disk at once
    Then no rule is broken
    And every partition has 2 copies in 2 zones, the core 2 copies and 3 voters

    Examples:
      | seed |
      | 33   |
      | 34   |

  Scenario: a store that is to leave and loses its disk is still to leave
    Given the deployment "cartalume" with 4 stores and 3 cores that tolerates 1 losses, seed 35
    When a store is to be retired, loses its disk at once and comes back empty
    Then the store that runs there now is emptied and its retirement completed

  Scenario: a register of two stores is left by one that lost its disk
    Given the deployment "cartalume" with 3 stores and 3 cores that tolerates 1 losses, seed 36
    When a store is retired and taken away, and of the two remaining ones one loses its disk and comes back
    Then a change is acknowledged while one is away, and the register holds the two live stores

  Scenario Outline: a core that is told to stop hands over first, <which>, seed <seed>
    Given the deployment "cartalume" with 3 stores and <cores> cores that tolerates 1 losses, seed <seed>
    When the core's <which> is told to stop and ends
    Then it ended within 2 seconds, and a change sent as it ends is accepted within <seconds> seconds
    And the core has 2 copies and 3 voters, and none of the copies is the one that ended

    Examples:
      | which                         | cores | seconds | seed |
      | primary                       | 3     | 3       | 41   |
      | backup                        | 3     | 3       | 42   |
      | primary, while another waits  | 4     | 3       | 43   |
      | backup, while another waits   | 4     | 3       | 44   |
      | idle voter                    | 3     | 1       | 45   |

  Scenario: a core that is told to stop while no other answers ends within 2 seconds
    Given the deployment "cartalume" with 3 stores and 3 cores that tolerates 1 losses, seed 46
    When all other cores are down and the primary is told to stop
    Then it ended within 2 seconds

  Scenario Outline: a voter that is gone for good is replaced by one that waits, <which>, seed <seed>
    Given the deployment "cartalume" with 3 stores and 4 cores that tolerates 1 losses, seed <seed>
    When the core's <which> is gone for good while another core waits
    Then within <seconds> seconds the other is a voter in its place, before the next tolerated loss

    Examples:
      | which      | seconds | seed |
      | idle voter | 3.5     | 47   |
      | idle voter | 3.5     | 48   |
      | backup     | 3.5     | 49   |
      | primary    | 4.0     | 50   |
      | primary    | 4.0     | 51   |

  # Guards against changes that are acknowledged late, or reads that fail, as operators reach cores that only wait (issue 37).
  Scenario Outline: a core that waits forwards operators' requests to the primary, seed <seed>
    Given the deployment "<name>" with <stores> stores and <cores> cores that tolerates <losses> losses, seed <seed>
    When operators change and read the policy at each core that waits, also after the core's primary has lost its power
    Then each change was acknowledged and each read showed the newest policy

    Examples:
      | name       | stores | cores | losses | seed |
      | cartalume  | 3      | 5     | 1      | 87   |
      | hipotecalc | 6      | 8     | 2      | 88   |

  Scenario Outline: a new primary replaces no voter that answers, seed <seed>
    Given the deployment "hipotecalc" with 6 stores and 7 cores that tolerates 2 losses, seed <seed>
    When the core's primary loses its power for 3 seconds, twice
    Then no core that was up has been replaced

    Examples:
      | seed |
      | 52   |
      | 53   |

  Scenario Outline: all of a lost store's partitions have two copies again before the next loss may come
    Given a deployment with <stores> stores and 24 partitions that hold 6 MB
    When a store <loss>
    Then every partition has 2 copies on live stores within <seconds> seconds of <moment>

    Examples:
      | stores | loss                                  | seconds | moment     |
      | 3      | loses its power for good              | 3       | the loss   |
      | 4      | loses its power for good              | 3       | the loss   |
      | 2      | loses its disk and starts again empty | 2       | its return |

  Scenario: a store is away with its disk, and the one that served on loses its own
    Given the deployment "cartalume" with 3 stores and 3 cores that tolerates 1 losses, seed 63
    When a store loses its power, the primary of its partitions accepts a keyed operation and loses its disk, and both come back
    Then the acknowledged keyed operation is known

  Scenario Outline: overlapping losses with one lost disk, the first store <loss>, <stores> stores, seed <seed>
    Given the deployment "cartalume" with <stores> stores and 3 cores that tolerates 1 losses, seed <seed>
    When a store <loss>, the primary of its partitions accepts a keyed operation and loses its disk, and both come back
    Then the acknowledged keyed operation is known

    Examples:
      | loss                             | stores | seed |
      | loses its power                  | 2      | 62   |
      | loses its power                  | 3      | 63   |
      | is frozen                        | 2      | 64   |
      | is frozen                        | 3      | 65   |
      | is cut off from stores and cores | 2      | 66   |
      | is cut off from stores and cores | 3      | 67   |

  Scenario Outline: overlapping losses of the core with one or two lost disks, <losses> losses, seed <seed>
    Given the deployment "hipotecalc" with <stores> stores and <cores> cores that tolerates <losses> losses, seed <seed>
    When <losses> copies of the core's table are frozen, a change is acknowledged, and <losses> others lose their disks
    Then the change that was acknowledged is shown once all are back

    Examples:
      | losses | stores | cores | seed |
      | 1      | 3      | 3     | 68   |
      | 2      | 6      | 5     | 69   |
      | 2      | 6      | 5     | 70   |

  Scenario Outline: <losses> disks are lost, <where>, as every other machine loses its power, seed <seed>
    Given the deployment "hipotecalc" with <stores> stores and <cores> cores that tolerates <losses> losses, seed <seed>
    When a change and a keyed operation are acknowledged, and at once <losses> machines lose their disks, <where>, and all others their power
    Then the change that was acknowledged is shown once all are back
    And the acknowledged keyed operation is known
    And every routing node serves again within 15 seconds

    Examples:
      | losses | stores | cores | where             | seed |
      | 1      | 3      | 3     | of the partition  | 81   |
      | 1      | 3      | 3     | of the core       | 82   |
      | 2      | 6      | 5     | of the partition  | 83   |
      | 2      | 6      | 5     | of the core       | 84   |
      | 2      | 6      | 5     | one of each       | 85   |
      | 2      | 6      | 8     | of the core       | 86   |

  Scenario: a new primary of the core drops lost disks at once, and waits for stores that are only silent
    Given a core that has just become primary, with a partition on "a", "b" and "c", of which "c" was replaced by an empty store
    When "a" has polled
    Then no reconfiguration is planned
    When "b" has polled
    Then the only planned reconfiguration drops "c"
    Given a core that has just become primary, with a partition on "a", "b" and "c", of which none was replaced by an empty store
    When "a" has polled
    And "b" has polled
    Then no reconfiguration is planned
    When 2 seconds pass in which "a" and "b" poll
    Then the only planned reconfiguration adds another store in place of "c"
