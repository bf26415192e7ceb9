Feature: Messages between our own processes: each return goes to its own asker, each message to its own member

  Scenario: a return that comes after its asker gave up goes to nobody
    Given a process that holds back its returns
    When one asks and gives up, and another asks on the same link
    Then the late return of the first reaches nobody, and the second gets its own

  Scenario: returns that pass each other on a link reach their own askers
    Given a process that holds back its returns
    When 5 ask at once and are answered in the opposite order
    Then each has its own return

  Scenario: numbers that begin anew after a reconnect mix up nothing
    Given a process that holds back its returns
    When an asker's link breaks, it asks again on a new link under the same number, and both are answered
    Then the first hears that it is lost, and the second gets its own return

  Scenario: one number on the links to two processes mixes up nothing
    Given a process that holds back its returns
    When two processes are asked under the same number, and the one asked last answers first
    Then each has its own return

  Scenario: a return under a number that was never asked, or was answered before, reaches nobody
    Given a process that holds back its returns
    When a return is sent twice and under a number of the future
    Then each has its own return

  Scenario: of a message that was cut on its way nothing is taken, and no other in its place
    Given a process of ours that records what it is told
    When a link ends in the middle of a message, and another link sends one whole
    Then only the whole one was taken

  Scenario: a message for the member that lived at an address before is refused and changes nothing
    Given a member that lives where another lived before
    When it is told something for the one before, for itself, and for nobody by name
    Then the first is refused, and only the others reach its state

  Scenario: a command for a part that a member does not hold is not taken, whoever lived there before
    When a store that holds no part is told a command for one
    Then it says that the part is elsewhere, and keeps nothing

  Scenario: a machine whose first packet was lost is met soon after it is back
    Given an address where connections are lost without a word
    When it is asked, and takes connections 300 ms later
    Then it answers within 700 ms of the asking, though the system alone repeats the first packet after a second
