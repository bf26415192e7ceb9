Feature: Startup settings are checked as a whole, and a process that cannot start says why

  Scenario Outline: <what> is refused with code <code>
    When a process is started with <what>
    Then it exits with code <code> and prints "<text>"

    Examples:
      | what                              | code | text                         |
      | a file with several errors        | 2    | seeds: must name three       |
      | no data folder                    | 2    | no such folder               |

  # Guards against an end that nobody asked for: what keeps a process from starting may pass by itself.
  Scenario Outline: <what> keeps a process waiting, which says why until it is told to stop
    When 4 s have passed since the start of a process with <what>
    Then it still runs, and has printed "<text>"
    And it ends with code 0 on SIGTERM

    Examples:
      | what                           | text                         |
      | a store's folder for a core    | the data folder is a store's |
      | an address that is in use      | in use                       |
      | a folder that nobody can write | cannot be written            |

  Scenario: a core with a corrupt data folder sets the file aside once and runs on as a new member
    When a core is started with a corrupt data folder, stopped, and started again
    Then the first start logged "torn or corrupt" and kept the file whole under another name
    And the second start found the folder of the first, and neither ended by itself

  Scenario: libcurl may send again on a dead connection that it reuses, but not a request that may be sent at most once
    Given a server that accepts a request on a kept-alive connection and closes it without a response
    When a second request is sent on that connection
    Then the server receives it more than once
    When a request is sent that may not be repeated
    Then the server receives it exactly once and the outcome is "lost"

  Scenario: a routing node that waits for the stores has its lease as soon as they are back, without a core
    Given a simulated fleet whose machines have all lost power
    When a routing node is started, and the stores 260 ms later
    Then it has a lease and a policy within 120 ms of the stores
