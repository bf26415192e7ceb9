Feature: Signals and stops at awkward moments end no other work and leave no error in a log

  Scenario Outline: a process that is starting is not ended by SIGHUP: <command>
    When the entry point of "<command>" is imported
    Then it has imported none of "tornado,cleo,cbor2,logbook"
    When it is started with valid settings, and gets SIGHUP repeatedly as soon as it ignores it
    Then it serves, notes a SIGHUP, and ends with code 0 on SIGTERM

    Examples:
      | command            |
      | quillstall         |
      | quillstall.testbed |

  Scenario: a core that stops while it forwards an operator's request reports that the outcome is unknown
    Given a core that forwards an operator's request to a primary that does not answer
    When the core cancels its tasks while the caller still waits
    Then the caller gets the error "outcome_unknown"

  Scenario: the caller of a forwarded request is cancelled, and the request goes on
    Given a core that forwards an operator's request to a primary that does not answer
    When the caller's own task is cancelled
    Then that task ends cancelled, and the forwarded request is still in flight
