Feature: The verdict counts whatever did not pass as failed

  Scenario Outline: a scenario that <what> is counted as <counted>
    Given a folder of features with one scenario that <what>
    When the features there are run
    Then the last line is "<line>", the exit code is <code>, and the output says "<said>"

    Examples:
      | what                    | counted | line               | code | said                |
      | passes                  | passed  | 1 passed, 0 failed | 0    | passed              |
      | fails                   | failed  | 0 passed, 1 failed | 1    | it is not so        |
      | has an undefined step   | failed  | 0 passed, 1 failed | 1    | undefined           |
      | is skipped              | failed  | 0 passed, 1 failed | 1    | skipped             |
      | ends its process        | failed  | 0 passed, 1 failed | 1    | never run           |
      | leaves a failed cleanup | failed  | 0 passed, 1 failed | 1    | cleanup_error: one  |

  Scenario: the rows of an outline and a feature that stays together are counted one by one
    Given a folder of features with an outline of three rows, of which one fails, and two scenarios that stay together
    When the features there are run
    Then the last line is "4 passed, 1 failed", the exit code is 1, and the output says "it is not so"
