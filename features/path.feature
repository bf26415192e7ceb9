Feature: Whole deployments serve their traffic

  Scenario Outline: <deploy> under its own traffic, simulated, seed <seed>
    Given the deployment "<deploy>" in the simulator with seed <seed>
    When its callers send requests for 8 seconds
    Then no rule is broken
    And at least 97 of 100 requests succeed
    And every routing node has the policy in force

    Examples:
      | deploy     | seed |
      | hipotecalc | 1    |
      | cartalume  | 2    |

  Scenario: one seed gives one history
    Then two runs of "cartalume" with seed 5 have the same trace and the same report

  @processes
  Scenario Outline: <deploy> as real processes
    Given the deployment "<deploy>" as real processes
    When its callers send requests for 4 seconds
    Then no rule is broken
    And at least 50 of 100 requests succeed

    Examples:
      | deploy     |
      | hipotecalc |
      | cartalume  |
