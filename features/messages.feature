Feature: Messages between processes: each reply reaches its call, each message the member that it is meant for

  Scenario: a reply that comes after its call timed out is dropped
    Given a process that holds back its replies
    When one call times out, and another is made on the same link
    Then the late reply to the first is dropped, and the second gets its own

  Scenario: replies that come out of order reach their own calls
    Given a process that holds back its replies
    When 5 calls are made at once and are answered in the opposite order
    Then each call has its own reply

  Scenario: call numbers that start again after a reconnect are not confused
    Given a process that holds back its replies
    When a caller's link breaks, it calls again on a new link with the same call number, and both are answered
    Then the first call fails as lost, and the second gets its own reply

  Scenario: the same call number on links to two processes is not confused
    Given a process that holds back its replies
    When two processes are called with the same call number, and the one called last answers first
    Then each call has its own reply

  Scenario: a reply with an unknown call number, or to a call that was answered before, is dropped
    Given a process that holds back its replies
    When a reply is sent twice and with a later call number
    Then each call has its own reply

  Scenario: a message that is cut off on its way is not handled, nor another in its place
    Given a process that records its messages
    When a link ends in the middle of a message, and another link sends a complete one
    Then only the complete message was handled

  Scenario: a message for the member that had an address before is refused and changes nothing
    Given a member with the address that another had before
    When it receives a message for the earlier member, one for itself, and one that names no member
    Then the first is refused, and only the others reach its state

  Scenario: a command for a partition that a member does not hold is rejected, whichever member had its address before
    When a store that holds no partition receives a command for one
    Then it replies that the partition is elsewhere, and stores nothing

  Scenario: a machine is reached soon after it is back, although the first connection packet was lost
    Given an address that drops connection packets
    When it is called, and accepts connections 300 ms later
    Then it answers within 700 ms of the call, though the kernel alone repeats the first packet after a second

  # Guards against a program that answers {'ok': True} at the address of a machine that is gone: it passed for a backup.
  Scenario Outline: nothing is sent to a program that answers "who" with <reply>
    Given a program that answers every message with <reply>
    When a process that verifies its peers sends it a message
    Then the message fails as "unreachable", and the program has been asked "who" alone

    Examples:
      | reply                                    |
      | {"ok": true}                             |
      | {}                                       |
      | {"fault": "core_away"}                   |
      | {"ok": true, "me": 5, "role": "core"}    |
