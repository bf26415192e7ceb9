Feature: Signals and stops at awkward moments end nothing that should go on, and leave no error in a log

  Scenario Outline: a process that is starting is not ended by SIGHUP: <command>
    When "<command>" is loaded as far as its first call
    Then it has loaded none of "tornado,cleo,cbor2,logbook"
    When it is started with settings that make it serve, and gets SIGHUP again and again as soon as it ignores it
    Then it comes to serve, notes a SIGHUP, and ends with code 0 when it is told to

    Examples:
      | command            |
      | quillstall         |
      | quillstall.testbed |

  Scenario: a core that stops while it forwards an order tells its caller that the outcome is unknown
    Given a core that forwards an order to a primary that does not answer
    When the core ends its tasks while the caller still waits
    Then the caller is told "outcome_unknown"

  Scenario: a caller that gives up a forwarded order is given up, and the order goes on
    Given a core that forwards an order to a primary that does not answer
    When the caller's own task is cancelled
    Then that task ends cancelled, and the order is still under way
