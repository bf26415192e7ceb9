Feature: The fleet serves on without the core

  Scenario Outline: for a minute no core serves at <deploy>, seed <seed>
    Given the deployment "<deploy>" in the simulator with seed <seed>
    When "core_away" happens 1 times
    Then no rule is broken
    And at most 20 pieces of work were refused for want of a lease

    Examples:
      | deploy     | seed |
      | cartalume  | 1    |
      | hipotecalc | 2    |

  Scenario: one store is no majority
    Given the deployment "cartalume" in the simulator with seed 1
    When a routing node and one store reach only each other, and the policy is changed then
    Then the change is acknowledged, and nobody may send under the old generation
    And the routing node had no lease

  Scenario: without a majority of the stores nothing is acknowledged
    Given the deployment "cartalume" in the simulator with seed 1
    When a routing node and two stores reach only each other, and the policy is changed then
    Then the change is not acknowledged, and the routing node serves on

  Scenario: an acknowledgement waits for the leases that stores have renewed
    Given the deployment "cartalume" in the simulator with seed 1
    When a routing node that renews its lease from the stores is cut off, and the policy is changed at once
    Then the change is acknowledged, and nobody may send under the old generation
    And the acknowledgement waited for the lease that the stores had renewed

  Scenario: an acknowledgement waits for an older lease whose later renewal was never heard of
    Given the deployment "cartalume" in the simulator with seed 1
    When a store's renewal under the new generation is lost on its way to a routing node that renews its lease from the stores
    Then the change is acknowledged, and nobody may send under the old generation
    And the acknowledgement waited for the lease that the stores had renewed

  Scenario: an acknowledgement waits for a lease renewed by a store that has started again twice since
    Given the deployment "cartalume" in the simulator with seed 1
    When a store that renewed the lease of a routing node is killed and started twice, and the policy is changed
    Then the change is acknowledged, and nobody may send under the old generation
    And the acknowledgement waited for the lease that the stores had renewed

  Scenario Outline: an acknowledgement waits for a lease of a core whose clock is stepped by <seconds> s
    Given the deployment "cartalume" in the simulator with seed 1
    When a routing node is cut off, the core's clocks are stepped by <seconds> s, and the policy is changed at once
    Then the change is acknowledged, and nobody may send under the old generation
    And the acknowledgement waited for the lease that the stores had renewed

    Examples:
      | seconds |
      | 3       |
      | -3      |

  Scenario Outline: with a lease of <lease> ms an acknowledgement waits no longer for a node that <renews>
    Given the deployment "cartalume" in the simulator with seed 1
    And a lease of <lease> ms in the settings
    When a routing node that <renews> is cut off, and the policy is changed at once
    Then the change is acknowledged, and nobody may send under the old generation
    And the acknowledgement waited less than <most> ms

    Examples:
      | lease | renews                           | most |
      | 1000  | renews its lease from the stores | 1400 |
      | 2500  | renews its lease from the stores | 3000 |

  Scenario Outline: the judge can fail: <way>
    Given the deployment "cartalume" in the simulator with seed 1
    And a fleet that breaks a rule: "<way>"
    When <what>, and the policy is changed <when>
    Then the change is acknowledged while the routing node may send under the old generation

    Examples:
      | way            | what                                                            | when    |
      | renew_minority | a routing node and one store reach only each other              | then    |
      | ack_minority   | a routing node and two stores reach only each other             | then    |
      | forget_renewed | a routing node that renews its lease from the stores is cut off | at once |

  Scenario Outline: the judge can fail: <way>
    Given the deployment "cartalume" in the simulator with seed 1
    And a fleet that breaks a rule: "<way>"
    When <what>
    Then the change is acknowledged while the routing node may send under the old generation

    Examples:
      | way            | what                                                                                                                  |
      | newest_renewal | a store's renewal under the new generation is lost on its way to a routing node that renews its lease from the stores |
      | forget_restart | a store that renewed the lease of a routing node is killed and started twice, and the policy is changed               |
      | settable_clock | a routing node is cut off, the core's clocks are stepped by 3 s, and the policy is changed at once                    |
