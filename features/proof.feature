Feature: The table of proof is true

  Scenario: every scenario and every break that the table names exists, and every promise has its break
    Given the table of proof
    Then each of its 11 promises names a scenario and a break
    And every scenario that it names exists
    And every break that it names is caught by a scenario, and no other break exists
    And every finding that it names can be made
