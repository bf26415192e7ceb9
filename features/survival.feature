Feature: A process ends only when it is told to

  Real processes, started as the deploy file says. Nobody starts a process again that has ended by itself.

  # Guards against processes that end because another program answers at the address of a machine that is gone.
  @processes
  Scenario Outline: processes run on while another program answers at the internal address of <machine>, seed <seed>
    Given a deployment of three cores, three stores and two routing nodes, with a configuration
    When <machine> is killed, and another program answers at its internal address, seed <seed>
    And core-2, storage-2 and edge-2 are killed and started again
    Then it is asked, and all others run, 8 s later
    And the configuration can be read and changed

    Examples:
      | machine   | seed |
      | core-1    | 1    |
      | core-3    | 2    |
      | storage-3 | 3    |
      | edge-1    | 4    |

  # Guards against a process that ends because it waits for a limited time for what it cannot have yet.
  Scenario Outline: <machine> waits <seconds> s for its <what>, and says so
    Given a deployment of one core, one store and one routing node
    When <machine> is started and its <what> is not to be had for <seconds> s
    Then it runs and serves its internal address
    And it has said more than once that it waits for its <what>
    And it ends with code 0 on SIGTERM

    Examples:
      | machine   | what              | seconds |
      | edge-1    | control address   | 24      |
      | core-1    | internal address  | 24      |
      | core-1    | data folder       | 24      |
      | storage-1 | data folder       | 24      |
      | core-1    | settings file     | 14      |
      | edge-1    | settings file     | 14      |
      | storage-1 | settings' numbers | 14      |

  # Guards against an end by an error of the program, one that its own loop does not expect.
  Scenario Outline: <error> in <place> runs the program anew in the same process
    When a process runs a program that fails twice with <error> in <place>
    Then it runs the program a third time, after waits that grow
    And its log tells of two failures, with their causes
    And it ends with code 0 on SIGTERM

    Examples:
      | error             | place                   |
      | ZeroDivisionError | the program             |
      | RecursionError    | the program             |
      | MemoryError       | the program             |
      | OSError           | the program             |
      | ZeroDivisionError | a step of the reducer   |
      | MemoryError       | a step of the reducer   |

  # Guards against failures that nobody hears of.
  Scenario: doctor names each process whose program was run anew
    Given a simulated fleet in which the program of a core, a store and a routing node has failed 3 times
    When doctor looks at the fleet
    Then it warns of these three processes and of no other, 3 times each

  # Guards against an error of the program that a well-formed reply with strange values sets off.
  Scenario: a reply that the reducer cannot handle counts as none
    Given a runner whose reducer fails on each reply, and asks another process
    When the other process replies
    Then the reducer is told that no reply came, the runner goes on, and counts it

  # Guards against a caller that is told that its request is malformed when a process of ours has an error.
  Scenario Outline: an error of ours <place> is told as ours, for a well-formed message
    Given a process that has an error of its own <place>
    When it gets a well-formed message
    Then it replies with the fault "internal", which has <ran>

    Examples:
      | place                                | ran         |
      | in the step of its reducer           | not run     |
      | as it applies a command to its table | not run     |
      | in the handler of its messages       | perhaps run |

  # Guards against a stop that fails, or that never comes, because the program has an error of its own.
  Scenario Outline: SIGTERM ends a process in order, <when>
    When a process runs a program that fails <when>, and gets SIGTERM
    Then it ends with code 0 within 5 s

    Examples:
      | when                 |
      | each time            |
      | as it is handed over |
