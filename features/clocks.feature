Feature: Lease arithmetic does not follow the wall clock

  Scenario Outline: a step of the wall clock does not move the clock of leases: <seconds> s
    Given a process clock whose wall clock can be set
    When the wall clock is stepped by <seconds> seconds and no time passes
    Then the clock of leases has not moved
    And the wall time has moved by <seconds> seconds

    Examples:
      | seconds |
      | 3       |
      | -3      |

  Scenario: a suspension counts as time on the clock of leases
    Then the clock of leases reads the steady clock that counts suspension, where there is one

  Scenario: the giver of a lease whose wall clock is stepped ahead still counts it
    Given a core that has granted a lease, on a process clock whose wall clock can be set
    When the wall clock is stepped by 3 seconds and no time passes
    Then the routing node still counts as one that may send under the old generation

  Scenario Outline: a store that started while its wall clock was <seconds> s off keeps turns by the wall clock
    Given a store whose steady clock reads <seconds> s more than the wall clock
    When it retains a turn for 60 s
    Then the turn is retained until the wall clock has moved by 60 s

    Examples:
      | seconds |
      | 3600    |
      | -2      |

  Scenario: a later renewal does not hide a lease under an older generation
    Given a store that renewed a lease under generation 3
    When it adopts generation 4 and renews the lease of the same node one second later
    Then it reports both leases to the core until each has expired
