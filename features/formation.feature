Feature: The first cores form one fleet, whatever is lost, late, killed or started again meanwhile

  # Guards against two fleets, and against a fleet that is never formed.
  Scenario Outline: <count> random histories of three seeds, from seed <seed>, with <machines>
    Given three cores in their first start, with <machines>
    When <count> random histories of messages, losses, kills and restarts are played from seed <seed>
    Then in none of them two different fleets are founded
    And in each of them a fleet is formed once the troubles are over
    And in at least one of 15 a core was killed between its promise and the fleet

    Examples:
      | seed | count | machines                                 |
      | 1    | 400   | disks that are kept                      |
      | 2    | 400   | one disk that is lost at the first kill  |
      | 3    | 60    | disks that take 0.4 s for each sync      |

  # The check above can fail.
  Scenario Outline: two fleets are found where <break>
    Given three cores in their first start, with disks that are kept
    And a formation in which <break>
    When 240 random histories of messages, losses, kills and restarts are played from seed 1
    Then in some of them two different fleets are founded

    Examples:
      | break                                         |
      | seeds agree to every proposer                 |
      | proposers ignore what was accepted before     |

  Scenario: a core whose settings do not speak of a first start founds nothing without all seeds
    Given three cores that do not say whether this is their first start, one of them down
    When 20 s pass
    Then none of them has a fleet
    And each of the two has logged that it has no fleet, and which seeds say the same
    When the third starts
    Then all three have the same fleet within 2 s
