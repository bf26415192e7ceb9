Feature: Classes get their share, lend idle capacity, and urgent work is served first

  Scenario: a class alone may use everything
    When only one of two classes with shares 75 and 25 sends requests, at twice the ceiling
    Then its goodput is at least 90 of 100 of the ceiling

  Scenario: two classes that both want more get their shares
    When both of two classes with shares 75 and 25 send requests, each at twice the ceiling
    Then the first has between 2 and 4 times the goodput of the second

  Scenario: urgent alerts are answered under overload
    When an urgent alert comes twice a second and other requests at 5 times the capacity of the application replicas
    Then at least 95 of 100 alerts succeed
    And at most 50 of 100 of the other requests do

  Scenario: an entitlement limits an idle fleet, and says so
    When a class with an entitlement of 10 turns a minute sends 40 to an idle fleet
    Then at most 10 are answered and the rest get 429 "entitlement" with a retry time

  Scenario: refused callers are told different times
    When 4 times the ceiling is offered for 3 seconds to one routing node
    Then the retry times are spread over at least a second, none below the floor nor above the ceiling
