Feature: Classes get their share, lend what they leave idle, and urgent work gets through

  Scenario: a class alone may use everything
    When only "one" of two classes with shares 75 and 25 asks, at twice the ceiling
    Then its goodput is at least 90 of 100 of the ceiling

  Scenario: two classes that both want more get their shares
    When both of two classes with shares 75 and 25 ask, each at twice the ceiling
    Then the first has between 2 and 4 times the goodput of the second

  Scenario: urgent alerts get through a crowd
    When an urgent alert comes twice a second into a crowd of 5 times what the application replicas take
    Then at least 95 of 100 alerts are answered well
    And at most 50 of 100 of the crowd are

  Scenario: an entitlement limits an idle fleet, and says so
    When a class with an entitlement of 10 turns a minute asks for 40 on an idle fleet
    Then at most 10 are answered and the rest get 429 "entitlement" with a time to come back

  Scenario: refused callers are told different times
    When 4 times the ceiling is offered for 3 seconds to one routing node
    Then the times to come back are spread over at least a second, none below the floor nor above the ceiling
