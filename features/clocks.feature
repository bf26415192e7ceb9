Feature: Lease arithmetic does not follow the wall clock

  Scenario: a later renewal does not hide a lease under an older generation
    Given a store that renewed a lease under generation 3
    When it takes generation 4 and renews the lease of the same node one second later
    Then it tells the core of both leases until each has run out
