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

  Scenario Outline: a scenario named in KNOWN-RED.txt that <what> is <judged>
    Given a folder of features with a scenario that passes and one that <what>
    And a KNOWN-RED.txt that names the second by its <by>
    When the features there are run
    Then the last line is "<line>", the exit code is <code>, and the output says "<said>"

    Examples:
      | what                    | by    | judged      | line               | code | said                                                    |
      | fails                   | name  | passed over | 1 passed, 0 failed | 0    | known failure, passed over: two  features/two.feature:2 |
      | fails                   | place | passed over | 1 passed, 0 failed | 0    | it is not so                                            |
      | breaks off              | name  | passed over | 1 passed, 0 failed | 0    | failed in 2 of 2 runs: a cause, issue 1                 |
      | passes                  | name  | failed      | 1 passed, 1 failed | 1    | passed, though KNOWN-RED.txt names it: two              |
      | has an undefined step   | name  | failed      | 1 passed, 1 failed | 1    | undefined: two                                          |
      | is skipped              | name  | failed      | 1 passed, 1 failed | 1    | skipped: two                                            |
      | ends its process        | name  | failed      | 1 passed, 1 failed | 1    | never run: two                                          |
      | leaves a failed cleanup | name  | failed      | 1 passed, 1 failed | 1    | cleanup_error: two                                      |

  Scenario Outline: a KNOWN-RED.txt fails the run if <what>
    Given a folder of features with a scenario that passes and one that fails
    And a KNOWN-RED.txt in which <what>
    When the features there are run
    Then the last line is "<line>", the exit code is 1, and the output says "<said>"

    Examples:
      | what                        | line               | said                                                         |
      | a line has no issue         | 1 passed, 2 failed | KNOWN-RED.txt: malformed line: features/two.feature:two      |
      | a line has no command       | 1 passed, 2 failed | KNOWN-RED.txt: malformed line: features/two.feature:two      |
      | a line has an empty sight   | 1 passed, 2 failed | KNOWN-RED.txt: malformed line: features/two.feature:two      |
      | a line has a fifth field    | 1 passed, 2 failed | KNOWN-RED.txt: malformed line: features/two.feature:two      |
      | a command has no seed       | 1 passed, 2 failed | KNOWN-RED.txt: the command has no seed                       |
      | a command is of another file | 1 passed, 2 failed | KNOWN-RED.txt: the command does not name features/two.feature |
      | a sight counts no runs      | 1 passed, 2 failed | KNOWN-RED.txt: what was seen does not say                    |
      | a sight counts no failure   | 1 passed, 2 failed | KNOWN-RED.txt: what was seen does not say                    |
      | an issue has no number      | 1 passed, 2 failed | KNOWN-RED.txt: no issue: later                               |
      | a tool is not started       | 1 passed, 2 failed | KNOWN-RED.txt: the command does not start the tool soak      |
      | a line is a remark          | 1 passed, 2 failed | KNOWN-RED.txt: malformed line: # mended soon                 |
      | a line names no scenario    | 1 passed, 2 failed | KNOWN-RED.txt: names no scenario: features/two.feature:three |
      | a line names no file        | 1 passed, 2 failed | KNOWN-RED.txt: names no scenario: features/no.feature:2      |
      | a scenario is named twice   | 1 passed, 2 failed | KNOWN-RED.txt: named twice: features/two.feature:2           |

  Scenario Outline: of <count> scenarios that fail and are named, <over> are passed over
    Given a folder of features with a scenario that passes and <count> that fail
    And a KNOWN-RED.txt that names all that fail
    When the features there are run
    Then the last line is "<line>", the exit code is <code>, and the output says "<said>"

    Examples:
      | count | over | line               | code | said                                               |
      | 3     | 3    | 1 passed, 0 failed | 0    | known failure, passed over                         |
      | 4     | 4    | 1 passed, 0 failed | 0    | known failure, passed over: red 3                  |

  Scenario Outline: a scenario that failed in 1 of 3 runs and <what> is <judged>
    Given a folder of features with a scenario that passes and one that <what>
    And a KNOWN-RED.txt that says that the second failed in 1 of 3 runs
    When the features there are run
    Then the last line is "<line>", the exit code is <code>, and the output says "<said>"

    Examples:
      | what       | judged      | line               | code | said                                                |
      | passes     | passed      | 2 passed, 0 failed | 0    | known failure, did not fail this time or was not run: two |
      | fails      | passed over | 1 passed, 0 failed | 0    | known failure, passed over: two                     |
      | is skipped | failed      | 1 passed, 1 failed | 1    | skipped: two                                        |

  Scenario: a run by hand that is named is printed, and hides nothing
    Given a folder of features with a scenario that passes and one that fails
    And a KNOWN-RED.txt that names a soak
    When the features there are run
    Then the last line is "1 passed, 1 failed", the exit code is 1, and the output says "known failure, not run here: soak"

  Scenario: a failure that is not named fails beside one that is
    Given a folder of features with a scenario that passes and 2 that fail
    And a KNOWN-RED.txt that names the first that fails
    When the features there are run
    Then the last line is "1 passed, 1 failed", the exit code is 1, and the output says "known failure, passed over"

  Scenario: rows of one name are named by their lines
    Given a folder of features with an outline of three rows, of which one fails, and two scenarios that stay together
    And a KNOWN-RED.txt that names the row that fails
    When the features there are run
    Then the last line is "4 passed, 0 failed", the exit code is 0, and the output says "known failure, passed over"

  Scenario: a name that several scenarios have names none of them
    Given a folder of features with two scenarios of one name, of which one fails
    And a KNOWN-RED.txt that names them by that name
    When the features there are run
    Then the last line is "1 passed, 2 failed", the exit code is 1, and the output says "names 2 scenarios, give the line"

  Scenario: a fault of its feature is not hidden by a known failure
    Given a folder of features with a known failure in a feature whose own cleanup fails
    When the features there are run
    Then the last line is "0 passed, 1 failed", the exit code is 1, and the output says "its feature"

  Scenario: the examples of the code that reads it hold
    Then the examples of features/known_red.py pass
