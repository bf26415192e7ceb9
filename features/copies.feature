Feature: As many machines with a disk may be lost at once as the setting says

  Scenario Outline: two stores and two cores lose their disks at once, seed <seed>
    Given the deployment "hipotecalc" with 6 stores and 6 cores that tolerates 2 losses, seed <seed>
    When callers send requests, and two stores lose their disks at once, later the core's primary and a backup
    Then no rule is broken
    And at least 80 of 100 requests succeed
    And the policy that was acknowledged before is shown
    And every partition has 3 copies in 3 zones, the core 3 copies and 5 voters

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: every process is killed at once, with three copies, seed <seed>
    Given the deployment "hipotecalc" with 6 stores and 6 cores that tolerates 2 losses, seed <seed>
    When every process of the fleet is killed while callers send requests, and started again
    Then no rule is broken
    And the policy that was acknowledged before is shown
    And 3 copies of the core and 3 of every partition in 3 zones serve within 10 seconds

    Examples:
      | seed |
      | 11   |
      | 12   |

  Scenario Outline: a store <loss> and its partitions are served without it, seed <seed>
    Given the deployment "cartalume" with 3 stores and 3 cores that tolerates 1 losses, seed <seed>
    When a store <loss> while callers send requests
    Then no rule is broken
    And every partition is served again within 2 seconds of the loss, by two copies at every moment
    And every partition has 2 copies in 2 zones, the core 2 copies and 3 voters

    Examples:
      | seed | loss                      |
      | 4    | loses its power           |
      | 5    | loses its disk            |
      | 6    | is frozen for 4 seconds   |

  Scenario Outline: a store <trouble> and its partitions are served without it, seed <seed>
    Given the deployment "cartalume" with 3 stores and 3 cores that tolerates 1 losses, seed <seed>
    When a store <trouble> for 4 seconds while callers send requests
    Then no rule is broken
    And every partition is served again within 2 seconds of the loss, by two copies at every moment
    And every partition has 2 copies in 2 zones, the core 2 copies and 3 voters

    Examples:
      | seed | trouble                                     |
      | 21   | is cut off from stores and cores            |
      | 22   | is cut off from stores and cores            |

  Scenario Outline: a store <trouble>, which is no loss, and no partition is served by one copy, seed <seed>
    Given the deployment "cartalume" with 3 stores and 3 cores that tolerates 1 losses, seed <seed>
    When a store <trouble> for 4 seconds while callers send requests
    Then no rule is broken
    And every partition is served again within 2 seconds of the loss, by two copies at every moment
    And every partition has 2 copies in 2 zones, the core 2 copies and 3 voters

    Examples:
      | seed | trouble                                    |
      | 23   | waits for its disk                         |
      | 24   | waits for its disk                         |
      | 25   | waits for its disk as a policy is changed  |

  Scenario: a primary that was replaced while it was frozen wakes and can answer nothing
    Given the deployment "cartalume" with 3 stores and 3 cores that tolerates 1 losses, seed 7
    When a store is frozen, its partitions are changed without it, and it is asked as it wakes
    Then it answers for none of the partitions that it had

  Scenario: a core that is gone for good is replaced by a spare one at another address
    Given the deployment "hipotecalc" with 3 stores and 3 cores that tolerates 1 losses, seed 8
    When a core machine is gone for good and an empty one starts at another address
    Then the new one is a voter in its place within 12 seconds
    And the policy that was acknowledged before is shown
